#include "documentfile.h"

#include "jsonreader.h"
#include "yamlreader.h"

#include <fstream>

namespace nutmeghinge {

std::optional<std::string> readDocumentText(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    // One byte over the size limit is enough for the parser to reject the text.
    std::string text(YamlReader::maximumBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.gcount() == 0 && !file.eof()) {
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

ParsedDocument readDocumentFile(const std::string &path)
{
    const std::optional<std::string> text = readDocumentText(path);
    if (!text) {
        return std::vector<DocumentError>{{0, {}, "the file cannot be read"}};
    }
    return parseDocument(*text);
}

std::string errorsText(const std::string &path, const std::vector<DocumentError> &errors)
{
    std::string text;
    for (const DocumentError &error : errors) {
        text += path + (error.line > 0 ? ':' + std::to_string(error.line) : "") + ": " + (error.field.empty() ? "" : error.field + ": ") + error.reason + '\n';
    }
    return text;
}

std::string errorsJson(const std::vector<DocumentError> &errors)
{
    nlohmann::json list = nlohmann::json::array();
    for (const DocumentError &error : errors) {
        list.push_back({{"line", error.line}, {"field", error.field}, {"reason", error.reason}});
    }
    return jsonToText(list);
}

} // namespace nutmeghinge
