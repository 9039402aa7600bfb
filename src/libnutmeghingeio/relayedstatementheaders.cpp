#include "relayedstatementheaders.h"

#include "numberparsing.h"
#include "targetstatementreader.h"
#include "wireheaders.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace nutmeghinge {

namespace {

/** A target that began to leave longer ago than this has ended. */
constexpr std::uint64_t maxLeavingMs = 86400000;
constexpr std::string_view yes = "1";

} // namespace

void appendRelayedStatement(HttpHeaders &headers, const RelayedStatement &relayed)
{
    headers.emplace_back(wire::target, relayed.target.name.value());
    headers.emplace_back(wire::targetIncarnation, std::to_string(relayed.target.incarnation));
    if (relayed.statement.limit) {
        headers.emplace_back(wire::targetLimit, fmt::format("{:.6f}", relayed.statement.limit->value()));
    }
    if (relayed.statement.leaving) {
        headers.emplace_back(wire::targetLeaving, yes);
        headers.emplace_back(wire::targetLeavingForMs, std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(relayed.leavingFor).count()));
    }
}

std::optional<RelayedStatement> relayedStatementOf(const HttpHeaders &headers)
{
    const std::optional<std::string_view> name = findHeader(headers, wire::target);
    const std::optional<std::uint64_t> incarnation = parseNumber(findHeader(headers, wire::targetIncarnation).value_or(""));
    if (!name || !incarnation) {
        return std::nullopt;
    }
    RelayedStatement relayed;
    relayed.target = {TargetName(std::string(*name)), *incarnation};
    relayed.statement = readTargetStatement(headers, {.limit = wire::targetLimit, .leaving = wire::targetLeaving});
    const std::optional<std::uint64_t> leavingFor = parseNumber(findHeader(headers, wire::targetLeavingForMs).value_or(""));
    relayed.leavingFor = std::chrono::milliseconds(std::min(leavingFor.value_or(0), maxLeavingMs));
    return relayed;
}

} // namespace nutmeghinge
