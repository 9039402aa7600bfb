#pragma once

#include "httpmessage.h"
#include "targetstatement.h"

#include <optional>

namespace nutmeghinge {

/** Adds the headers with which a node tells another what a target said about itself. */
void appendRelayedStatement(HttpHeaders &headers, const RelayedStatement &relayed);

/** Returns the statement that another node's headers contain; std::nullopt if they name no target or are invalid. */
std::optional<RelayedStatement> relayedStatementOf(const HttpHeaders &headers);

} // namespace nutmeghinge
