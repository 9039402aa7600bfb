#include "nodelist.h"

#include "endpointtext.h"

#include <sstream>

namespace nutmeghinge {

std::optional<std::vector<Endpoint>> nodesFromText(const std::string &text)
{
    std::vector<Endpoint> nodes;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        const std::optional<Endpoint> node = endpointFromText(part);
        if (!node || node->isEmpty()) {
            return std::nullopt;
        }
        nodes.push_back(*node);
    }
    return nodes.empty() ? std::nullopt : std::optional(nodes);
}

} // namespace nutmeghinge
