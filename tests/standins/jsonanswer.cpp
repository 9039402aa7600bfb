#include "jsonanswer.h"

#include "httpexchange.h"
#include "jsonreader.h"
#include "percentencoding.h"

namespace nutmeghinge {

void answerJson(HttpExchange &exchange, std::uint16_t status, const nlohmann::json &body)
{
    exchange.answer(status, {{"content-type", "application/json"}}, jsonToText(body));
}

void answerBadRequest(HttpExchange &exchange, const std::string &reason)
{
    answerJson(exchange, 400, {{"reason", reason}});
}

std::string queryParameter(const std::string &path, const std::string &name)
{
    std::size_t start = path.find('?');
    while (start != std::string::npos) {
        const std::size_t end = path.find('&', start + 1);
        const std::string parameter = path.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        if (parameter.starts_with(name + '=')) {
            return percentDecode(std::string_view(parameter).substr(name.size() + 1));
        }
        start = end;
    }
    return {};
}

} // namespace nutmeghinge
