#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

namespace nutmeghinge {

class HttpExchange;

/** Sends an answer with a JSON body. */
void answerJson(HttpExchange &exchange, std::uint16_t status, const nlohmann::json &body);
/** Sends an answer with status 400 and the reason in a JSON body. */
void answerBadRequest(HttpExchange &exchange, const std::string &reason);
/** Returns the percent-decoded value of a query parameter of the path; empty if the parameter is missing. */
std::string queryParameter(const std::string &path, const std::string &name);

} // namespace nutmeghinge
