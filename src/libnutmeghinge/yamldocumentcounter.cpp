#include "yamldocumentcounter.h"

#include <sstream>
#include <yaml-cpp/parser.h>

namespace nutmeghinge {

int YamlDocumentCounter::lineOfSecondDocument(const std::string &text)
{
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    YamlDocumentCounter counter;
    const bool hasTwo = parser.HandleNextDocument(counter) && parser.HandleNextDocument(counter);
    return hasTwo ? counter.m_line : 0;
}

} // namespace nutmeghinge
