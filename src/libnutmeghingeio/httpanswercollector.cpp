#include "httpanswercollector.h"

namespace nutmeghinge {

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
    return true;
}

void HttpAnswerCollector::finished(HttpCallResult result)
{
    m_answer.result = m_overLimit ? HttpCallResult::Malformed : result;
    m_function(std::move(m_answer));
}

} // namespace nutmeghinge
