#include "announcementserver.h"

#include "httpexchange.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace nutmeghinge {

namespace {

constexpr std::uint64_t announcementLimitBytes = 16384;
constexpr std::size_t nameLimitBytes = 128;

using Json = nlohmann::json;

std::string readName(const Json &object, const char *field)
{
    std::string name = object.at(field).get<std::string>();
    if (name.empty() || name.size() > nameLimitBytes || name.find_first_of("/ \r\n\t") != std::string::npos) {
        throw std::invalid_argument(std::string(field) + " is not a valid name");
    }
    return name;
}

template <typename Number>
Number readNumber(const Json &object, const char *field)
{
    const Json &value = object.at(field);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
        throw std::invalid_argument(std::string(field) + " is not an unsigned integer in the permitted range");
    }
    return value.get<Number>();
}

TargetAnnounced readAnnouncement(const Json &object)
{
    TargetAnnounced announced;
    announced.service = ServiceName(readName(object, "service"));
    announced.target = TargetName(readName(object, "target"));
    announced.endpoint = Endpoint{readName(object, "address"), readNumber<std::uint16_t>(object, "port")};
    announced.slots = readNumber<std::uint32_t>(object, "slots");
    announced.connections = readNumber<std::uint32_t>(object, "connections");
    announced.targetIncarnation = readNumber<std::uint64_t>(object, "incarnation");
    announced.draining = object.value("draining", false);
    if (announced.slots == 0) {
        throw std::invalid_argument("slots must not be 0");
    }
    return announced;
}

} // namespace

std::variant<TargetAnnounced, AnnouncementError> parseAnnouncement(std::string_view text)
{
    // The JSON library reports errors by exceptions, which must not leave this function.
    try {
        return readAnnouncement(Json::parse(text));
    } catch (const std::exception &error) {
        return AnnouncementError{error.what()};
    }
}

AnnouncementServer::AnnouncementServer(EventLoop &loop, EventFunction events, ClientLimits limits)
    : m_events(std::move(events))
    , m_server(loop,
               HttpServer::Options{.bodyLimit = announcementLimitBytes, .name = "target", .limits = limits},
               [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); })
{
}

std::variant<Endpoint, ListenError> AnnouncementServer::listen(const Endpoint &endpoint)
{
    return m_server.listen(endpoint);
}

void AnnouncementServer::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    if (request.method != "POST" || request.path != "/announce") {
        exchange->answer(404, {{"content-type", "application/json"}}, R"({"error":"only POST /announce is served here"})");
        return;
    }
    std::variant<TargetAnnounced, AnnouncementError> announcement = parseAnnouncement(request.body.text());
    if (const auto *error = std::get_if<AnnouncementError>(&announcement)) {
        spdlog::warn("refused the announcement of the target: {}", error->reason);
        exchange->answer(400, {{"content-type", "application/json"}}, Json{{"error", error->reason}}.dump());
        return;
    }
    exchange->answer(204, {}, {});
    m_events(std::get<TargetAnnounced>(std::move(announcement)));
}

} // namespace nutmeghinge
