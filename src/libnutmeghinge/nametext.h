#pragma once

#include <optional>
#include <string>
#include <string_view>

/**
 * Checks of names in documents and settings: each returns why the text cannot be
 * one, or nothing where it can.
 */
namespace nutmeghinge {

/** Name of a service, node, target, zone or region: letters, digits, '.', '_' and '-'. */
std::optional<std::string> faultOfName(std::string_view text);
/** Pattern of target names: a name that may hold '*'. */
std::optional<std::string> faultOfPattern(std::string_view text);
/** Value of a Host header: a host name or IP number in lower case, with a port or without. */
std::optional<std::string> faultOfHost(std::string_view text);
/** Name of an HTTP header in lower case, outside the system's own namespace. */
std::optional<std::string> faultOfHeader(std::string_view text);

} // namespace nutmeghinge
