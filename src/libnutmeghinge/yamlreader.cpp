#include "yamlreader.h"

#include "utf8.h"
#include "yamldocumentcounter.h"

#include <algorithm>
#include <string>
#include <yaml-cpp/yaml.h>

namespace nutmeghinge {

YamlReader::YamlReader(std::string_view text)
    : m_root(m_errors)
{
    m_isReadable = parse(text);
}

bool YamlReader::parse(std::string_view text)
{
    if (text.size() > maximumBytes) {
        return reject(0, "the text is larger than 256 KiB");
    }
    const std::size_t unprintable = findUnprintable(text);
    if (unprintable != std::string_view::npos) {
        const auto lineEnds = std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(unprintable), '\n');
        return reject(static_cast<int>(lineEnds) + 1, "holds a control character or what is no UTF-8");
    }
    try {
        // YAML::LoadAll() never returns for texts such as ",".
        const std::string copy(text);
        if (const int line = YamlDocumentCounter::lineOfSecondDocument(copy)) {
            return reject(line, "the text holds more than one YAML document");
        }
        const YAML::Node document = YAML::Load(copy);
        if (document.IsNull()) {
            return reject(0, "the text is empty");
        }
        if (!document.IsMap()) {
            return reject(document.Mark().line + 1, "must be a mapping of fields");
        }
        m_root = YamlMapping(m_errors, {}, document.Mark().line + 1, document);
        return true;
    } catch (const YAML::Exception &exception) {
        return reject(exception.mark.is_null() ? 0 : exception.mark.line + 1, ("not YAML: " + exception.msg).c_str());
    }
}

bool YamlReader::reject(int line, const char *reason)
{
    m_errors.add(line, {}, reason);
    return false;
}

} // namespace nutmeghinge
