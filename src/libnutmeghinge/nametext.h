#pragma once

#include <optional>
#include <string>
#include <string_view>

/**
 * Validation of names in documents and settings. Each function returns the reason why
 * the text is invalid, or nothing if it is valid.
 */
namespace nutmeghinge {

/** Name of a service, node, target, zone or region: letters, digits, '.', '_' and '-'. */
std::optional<std::string> nameError(std::string_view text);
/** Pattern of target names: a name that may contain '*'. */
std::optional<std::string> patternError(std::string_view text);
/** Value of a Host header: a host name or IP address in lower case, with or without a port. */
std::optional<std::string> hostError(std::string_view text);
/** Name of an HTTP header in lower case, without the prefix of the system's own headers. */
std::optional<std::string> headerError(std::string_view text);

} // namespace nutmeghinge
