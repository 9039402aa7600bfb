#pragma once

#include "httpclient.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace nutmeghinge {

/** A whole answer, or how the call failed. */
struct CollectedAnswer {
    /** Complete only if the answer is whole and within the limit. */
    HttpCallResult result = HttpCallResult::Malformed;
    std::uint16_t status = 0;
    HttpHeaders headers;
    std::string body;

    /** The answer is whole and has this status. */
    bool isWhole(std::uint16_t expectedStatus) const { return result == HttpCallResult::Complete && status == expectedStatus; }
};

/** Collects a small answer in memory and hands it over whole. */
class HttpAnswerCollector : public HttpAnswerReceiver
{
public:
    using Function = std::function<void(CollectedAnswer)>;

    /** An answer with a body over the limit, in bytes, counts as malformed. */
    HttpAnswerCollector(std::size_t bodyLimit, Function function);

    void headReceived(const HttpAnswerHead &head) override;
    bool bodyReceived(std::string_view data) override;
    void finished(HttpCallResult result) override;

private:
    std::size_t m_bodyLimit;
    Function m_function;
    CollectedAnswer m_answer;
    bool m_overLimit = false;
};

} // namespace nutmeghinge
