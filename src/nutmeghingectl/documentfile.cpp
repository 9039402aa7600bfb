#include "documentfile.h"

#include "jsonreader.h"
#include "yamlreader.h"

#include <fstream>

namespace nutmeghinge {

std::optional<std::string> readDocumentText(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    // One byte over the limit is enough for the parser to reject the text.
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

std::string faultsText(const std::string &path, const std::vector<DocumentError> &faults)
{
    std::string text;
    for (const DocumentError &fault : faults) {
        text += path + (fault.line > 0 ? ':' + std::to_string(fault.line) : "") + ": " + (fault.field.empty() ? "" : fault.field + ": ") + fault.reason + '\n';
    }
    return text;
}

std::string faultsJson(const std::vector<DocumentError> &faults)
{
    nlohmann::json list = nlohmann::json::array();
    for (const DocumentError &fault : faults) {
        list.push_back({{"line", fault.line}, {"field", fault.field}, {"reason", fault.reason}});
    }
    return jsonToText(list);
}

} // namespace nutmeghinge
