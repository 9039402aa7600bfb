#include "yamlreader.h"

#include "utf8.h"

#include <algorithm>
#include <string>
#include <yaml-cpp/yaml.h>

namespace nutmeghinge {

YamlReader::YamlReader(std::string_view text)
    : m_root(m_faults)
{
    m_isReadable = parse(text);
}

bool YamlReader::parse(std::string_view text)
{
    if (text.size() > maximumBytes) {
        return reject(0, "the text is larger than 256 KiB");
    }
    // The YAML library hangs or corrupts memory on some texts that are no printable UTF-8.
    const std::size_t unprintable = findUnprintable(text);
    if (unprintable != std::string_view::npos) {
        const auto lineEnds = std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(unprintable), '\n');
        return reject(static_cast<int>(lineEnds) + 1, "holds a control character or what is no UTF-8");
    }
    try {
        const std::vector<YAML::Node> documents = YAML::LoadAll(std::string(text));
        if (documents.empty() || documents.front().IsNull()) {
            return reject(0, "the text is empty");
        }
        if (documents.size() > 1) {
            return reject(documents[1].Mark().line + 1, "the text holds more than one YAML document");
        }
        if (!documents.front().IsMap()) {
            return reject(documents.front().Mark().line + 1, "must be a mapping of fields");
        }
        m_root = YamlMapping(m_faults, {}, documents.front().Mark().line + 1, documents.front());
        return true;
    } catch (const YAML::Exception &exception) {
        return reject(exception.mark.is_null() ? 0 : exception.mark.line + 1, ("not YAML: " + exception.msg).c_str());
    }
}

bool YamlReader::reject(int line, const char *reason)
{
    m_faults.add(line, {}, reason);
    return false;
}

} // namespace nutmeghinge
