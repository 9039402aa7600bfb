#pragma once

#include "endpoint.h"

#include <optional>
#include <string>
#include <string_view>

namespace nutmeghinge {

/** The endpoint as "ADDRESS:PORT"; empty for an empty endpoint. */
std::string endpointToText(const Endpoint &endpoint);
/** Nothing where the text is neither empty nor "ADDRESS:PORT". */
std::optional<Endpoint> endpointFromText(std::string_view text);

} // namespace nutmeghinge
