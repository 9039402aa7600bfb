#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

namespace nutmeghinge {

class HttpExchange;

/** Answers with a JSON body. */
void answerJson(HttpExchange &exchange, std::uint16_t status, const nlohmann::json &body);
/** Answers 400 with the reason. */
void answerBadRequest(HttpExchange &exchange, const std::string &reason);
/** Value of a parameter of the path's query, decoded; empty where there is none. */
std::string queryParameter(const std::string &path, const std::string &name);

} // namespace nutmeghinge
