#pragma once

#include "httpclient.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace nutmeghinge {

/** A complete answer, or the result of a call that failed. */
struct CollectedAnswer {
    /** Complete only if the whole answer was received and its body is within the limit. */
    HttpCallResult result = HttpCallResult::Malformed;
    std::uint16_t status = 0;
    HttpHeaders headers;
    std::string body;

    /** Returns whether the answer is complete and has the status. */
    bool isComplete(std::uint16_t expectedStatus) const { return result == HttpCallResult::Complete && status == expectedStatus; }
    /** Returns the status of a complete answer or why there is none, for log lines. */
    std::string summary() const;
};

/** Collects a small answer in memory and passes it to a function when the call has ended. */
class HttpAnswerCollector : public HttpAnswerReceiver
{
public:
    using Function = std::function<void(CollectedAnswer)>;

    /** bodyLimit: largest body in bytes. An answer with a larger body counts as malformed and is not read on, so the call needs a deadline. */
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
