#pragma once

#include "endpoint.h"

#include <optional>
#include <string>
#include <vector>

namespace nutmeghinge {

/** Parses a list "ADDRESS:PORT,..."; std::nullopt if it is empty or an element is not an endpoint. */
std::optional<std::vector<Endpoint>> nodesFromText(const std::string &text);

} // namespace nutmeghinge
