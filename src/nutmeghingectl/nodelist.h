#pragma once

#include "endpoint.h"

#include <optional>
#include <string>
#include <vector>

namespace nutmeghinge {

/** Endpoints of "ADDRESS:PORT,..."; nothing where a part is none, or there is no part. */
std::optional<std::vector<Endpoint>> nodesFromText(const std::string &text);

} // namespace nutmeghinge
