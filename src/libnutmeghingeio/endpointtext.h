#pragma once

#include "endpoint.h"

#include <optional>
#include <string>
#include <string_view>

namespace nutmeghinge {

/** Returns the endpoint as "ADDRESS:PORT", or an empty string if the endpoint is empty. */
std::string endpointToText(const Endpoint &endpoint);
/** Parses "ADDRESS:PORT"; an empty text gives an empty endpoint. Returns std::nullopt if the text is invalid. */
std::optional<Endpoint> endpointFromText(std::string_view text);

} // namespace nutmeghinge
