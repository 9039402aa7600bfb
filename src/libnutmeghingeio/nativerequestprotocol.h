#pragma once

#include "requestprotocol.h"

namespace nutmeghinge {

/** nutmeghinge's native protocol, with the headers of wireheaders.h. */
class NativeRequestProtocol : public RequestProtocol
{
public:
    bool isReserved(std::string_view headerName) const override;
    void setCallerHeaders(HttpHeaders &headers) const override;
    std::optional<Duration> timeout(const HttpHeaders &received) const override;
    std::string callerId(const HttpHeaders &received) const override;
    std::string callerIdentity(const HttpHeaders &forwarded) const override;
    HttpHeaders targetHeaders(const HttpHeaders &forwarded, const TargetCall &call) const override;
    bool isAnswerToCall(const HttpAnswerHead &head, const HttpHeaders &forwarded, const TargetCall &call) const override;
    std::optional<std::variant<AttemptNotRun, AttemptUnknown>> refusalOf(const HttpAnswerHead &head) const override;
    TargetStatement statementOf(const HttpAnswerHead &head) const override;
    HttpHeaders refusalHeaders(const RefuseRequest &refusal) const override;
};

/** Returns the value of the header wire::outcome for an outcome. */
std::string_view nameOf(Outcome outcome);

/** Converts milliseconds to a timeout of at most one day. Returns std::nullopt if there is no number. */
std::optional<Duration> timeoutOfMilliseconds(std::optional<std::uint64_t> milliseconds);

} // namespace nutmeghinge
