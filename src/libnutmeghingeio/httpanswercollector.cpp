#include "httpanswercollector.h"

namespace nutmeghinge {

std::string CollectedAnswer::summary() const
{
    switch (result) {
    case HttpCallResult::Complete:
        return "HTTP status " + std::to_string(status);
    case HttpCallResult::NotConnected:
        return "no connection was established";
    case HttpCallResult::ConnectionLost:
        return "the connection was lost before the answer";
    case HttpCallResult::Unacknowledged:
        return "the other side's system acknowledged nothing before the answer";
    case HttpCallResult::Truncated:
        return "the answer was cut off";
    case HttpCallResult::NoProgress:
    case HttpCallResult::DeadlineExpired:
        return "the answer did not arrive in time";
    case HttpCallResult::Malformed:
        return "the answer was invalid or too large";
    case HttpCallResult::Cancelled:
        return "the call was cancelled";
    }
    return "unknown result";
}

HttpAnswerCollector::HttpAnswerCollector(std::size_t bodyLimit, Function function)
    : m_bodyLimit(bodyLimit)
    , m_function(std::move(function))
{
}

void HttpAnswerCollector::headReceived(const HttpAnswerHead &head)
{
    m_answer.status = head.status;
    m_answer.headers = head.headers;
}

bool HttpAnswerCollector::bodyReceived(std::string_view data)
{
    m_overLimit = m_overLimit || m_answer.body.size() + data.size() > m_bodyLimit;
    if (!m_overLimit) {
        m_answer.body.append(data);
    }
    // A body without end is not read on; the call ends at its deadline.
    return !m_overLimit;
}

void HttpAnswerCollector::finished(HttpCallResult result)
{
    m_answer.result = m_overLimit ? HttpCallResult::Malformed : result;
    m_function(std::move(m_answer));
}

} // namespace nutmeghinge
