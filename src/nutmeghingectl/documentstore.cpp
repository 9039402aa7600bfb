#include "documentstore.h"

#include "endpointtext.h"
#include "jsonreader.h"
#include "percentencoding.h"
#include "platformkeys.h"
#include "timetext.h"

#include <algorithm>
#include <chrono>
#include <spdlog/fmt/fmt.h>
#include <thread>
#include <xxhash.h>

namespace nutmeghinge {

namespace {

constexpr std::size_t maxPrevious = 100;
constexpr int attempts = 5;
constexpr auto attemptInterval = std::chrono::milliseconds(400);

std::string failureText(const std::string &what, const CollectedAnswer &answer)
{
    return what + " failed: " + (answer.result == HttpCallResult::Complete ? "status " + std::to_string(answer.status) : "no complete answer");
}

std::string optionalText(JsonReader &reader, const nlohmann::json &json, const char *field)
{
    return json.is_object() && json.contains(field) ? reader.text(json, field) : std::string();
}

DocumentEntry entryOf(JsonReader &reader, const nlohmann::json &json)
{
    return {
        DocumentRevision(reader.number(json, "revision")), reader.text(json, "object"), optionalText(reader, json, "editor"), optionalText(reader, json, "at")};
}

nlohmann::json toJson(const DocumentEntry &entry)
{
    return {{"revision", entry.revision.value()}, {"object", entry.object}, {"editor", entry.editor}, {"at", entry.at}};
}

DocumentHistory historyOf(JsonReader &reader, const std::string &answer)
{
    const nlohmann::json row = reader.parse(answer);
    const nlohmann::json value = reader.parse(reader.text(row, "value"));
    DocumentHistory history{RowVersion(reader.number(row, "version")), entryOf(reader, value), {}};
    if (value.is_object() && value.contains("previous")) {
        for (const nlohmann::json &entry : reader.list(value, "previous")) {
            history.previous.push_back(entryOf(reader, entry));
        }
    }
    return history;
}

/** Returns the value of the row with the new entry in force and the revisions before it. */
std::string rowValue(const DocumentHistory &before, const DocumentEntry &entry)
{
    std::vector<DocumentEntry> previous = before.previous;
    if (before.version.value() != 0) {
        previous.push_back(before.inForce);
    }
    const std::size_t first = previous.size() > maxPrevious ? previous.size() - maxPrevious : 0;
    nlohmann::json value = toJson(entry);
    value["previous"] = nlohmann::json::array();
    for (std::size_t index = first; index < previous.size(); ++index) {
        value["previous"].push_back(toJson(previous[index]));
    }
    return jsonToText(value);
}

DocumentEntry newEntry(const DocumentEdit &edit, DocumentRevision revision)
{
    const auto now = std::chrono::system_clock::now();
    // Uses the full clock resolution, so that two concurrent puts of the same text get different names.
    const std::string hashed = edit.text + '\0' + edit.editor + '\0' + std::to_string(now.time_since_epoch().count());
    const std::string suffix = fmt::format("{:016x}", XXH64(hashed.data(), hashed.size(), 0));
    return {revision,
            platformkeys::documentObjectPrefix(edit.service) + std::to_string(revision.value()) + '-' + suffix,
            edit.editor,
            wallTimeText(std::chrono::floor<WallTime::duration>(now))};
}

/** Returns whether the platform may still receive or run the request. */
bool mayStillRun(const CollectedAnswer &answer)
{
    return answer.result == HttpCallResult::NoProgress || answer.result == HttpCallResult::DeadlineExpired;
}

} // namespace

const DocumentEntry *DocumentHistory::find(DocumentRevision revision) const
{
    if (version.value() != 0 && inForce.revision == revision) {
        return &inForce;
    }
    const auto found = std::find_if(previous.begin(), previous.end(), [&](const DocumentEntry &entry) { return entry.revision == revision; });
    return found == previous.end() ? nullptr : &*found;
}

DocumentStore::DocumentStore(Endpoint platform)
    : m_platform(std::move(platform))
{
}

std::variant<DocumentHistory, StoreError> DocumentStore::read(const ServiceName &service)
{
    const std::string key = platformkeys::documentRow(service);
    const CollectedAnswer answer = send("GET", "/table/rows/" + percentEncode(key));
    if (answer.isComplete(404)) {
        return DocumentHistory();
    }
    if (!answer.isComplete(200)) {
        return StoreError{failureText("reading row " + key, answer)};
    }
    JsonReader reader;
    DocumentHistory history = historyOf(reader, answer.body);
    if (reader.error()) {
        return StoreError{"row " + key + " is invalid: " + *reader.error()};
    }
    return history;
}

std::variant<std::string, StoreError> DocumentStore::text(const DocumentEntry &entry)
{
    CollectedAnswer answer = send("GET", "/objects/" + percentEncode(entry.object));
    if (!answer.isComplete(200)) {
        return StoreError{failureText("reading object " + entry.object, answer)};
    }
    return std::move(answer.body);
}

std::variant<DocumentText, StoreError> DocumentStore::textOf(const ServiceName &service, std::optional<DocumentRevision> revision)
{
    const auto row = read(service);
    if (const auto *error = std::get_if<StoreError>(&row)) {
        return *error;
    }
    const auto &history = std::get<DocumentHistory>(row);
    const DocumentEntry *entry = history.find(revision.value_or(history.inForce.revision));
    if (entry == nullptr) {
        return StoreError{"there is no " + (revision ? "revision " + std::to_string(revision->value()) : "document")};
    }
    auto content = text(*entry);
    if (auto *error = std::get_if<StoreError>(&content)) {
        return std::move(*error);
    }
    return DocumentText{*entry, std::get<std::string>(std::move(content))};
}

EditOutcome DocumentStore::put(const DocumentEdit &edit)
{
    const auto row = read(edit.service);
    if (const auto *error = std::get_if<StoreError>(&row)) {
        return *error;
    }
    const auto &before = std::get<DocumentHistory>(row);
    if (edit.base && *edit.base != before.inForce.revision) {
        return EditConflict{*edit.base, before.inForce};
    }
    const DocumentEntry entry = newEntry(edit, DocumentRevision(before.inForce.revision.value() + 1));
    if (auto error = putObject(entry.object, edit.text)) {
        return std::move(*error);
    }
    return transact(edit.service, before, entry);
}

std::optional<StoreError> DocumentStore::putObject(const std::string &name, const std::string &text)
{
    CollectedAnswer answer;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        answer = send("PUT", "/objects/" + percentEncode(name), text);
        if (answer.isComplete(201)) {
            return std::nullopt;
        }
        // The object may exist from an earlier attempt, or from this one if only its answer was lost.
        const CollectedAnswer stored = send("GET", "/objects/" + percentEncode(name));
        if (stored.isComplete(200)) {
            return stored.body == text ? std::nullopt : std::optional(StoreError{"object " + name + " exists with different content"});
        }
        std::this_thread::sleep_for(attemptInterval);
    }
    return StoreError{failureText("writing object " + name, answer)};
}

EditOutcome DocumentStore::transact(const ServiceName &service, const DocumentHistory &before, const DocumentEntry &entry)
{
    const std::string key = platformkeys::documentRow(service);
    nlohmann::json body = {{"conditions", nlohmann::json::array()}, {"writes", nlohmann::json::array()}, {"deletes", nlohmann::json::array()}};
    body["conditions"].push_back({{"key", key}, {"version", before.version.value()}});
    body["writes"].push_back({{"key", key}, {"value", rowValue(before, entry)}});
    const CollectedAnswer answer = send("POST", "/table/transact", jsonToText(body));
    if (answer.isComplete(200)) {
        return EditAccepted{entry.revision};
    }
    if (answer.isComplete(409)) {
        return conflict(service, before);
    }
    return resolveOutcome(service, before, entry, answer);
}

EditOutcome DocumentStore::conflict(const ServiceName &service, const DocumentHistory &before)
{
    const auto row = readWithRetries(service);
    if (const auto *error = std::get_if<StoreError>(&row)) {
        return StoreError{"another edit of revision " + std::to_string(before.inForce.revision.value()) + " was accepted first; " + error->reason};
    }
    return EditConflict{before.inForce.revision, std::get<DocumentHistory>(row).inForce};
}

EditOutcome DocumentStore::resolveOutcome(const ServiceName &service, const DocumentHistory &before, const DocumentEntry &entry, const CollectedAnswer &answer)
{
    const std::string reason = failureText("writing row " + platformkeys::documentRow(service), answer);
    const auto row = readWithRetries(service);
    if (const auto *error = std::get_if<StoreError>(&row)) {
        return EditUnknown{before.inForce.revision, reason + "; " + error->reason};
    }
    const auto &now = std::get<DocumentHistory>(row);
    const DocumentEntry *found = now.find(entry.revision);
    if (found != nullptr && found->object == entry.object) {
        return EditAccepted{entry.revision};
    }
    if (now.version != before.version) {
        return EditConflict{before.inForce.revision, now.inForce};
    }
    if (mayStillRun(answer)) {
        return EditUnknown{before.inForce.revision, reason + "; the row is unchanged, but the request may still be in progress"};
    }
    return EditNotAccepted{before.inForce.revision, reason};
}

std::variant<DocumentHistory, StoreError> DocumentStore::readWithRetries(const ServiceName &service)
{
    auto row = read(service);
    for (int attempt = 1; attempt < attempts && std::holds_alternative<StoreError>(row); ++attempt) {
        std::this_thread::sleep_for(attemptInterval);
        row = read(service);
    }
    return row;
}

CollectedAnswer DocumentStore::send(const std::string &method, const std::string &path, const std::string &body)
{
    HttpClientRequest request;
    request.to = m_platform;
    request.method = method;
    request.path = path;
    request.headers = {{"host", endpointToText(m_platform)}};
    // The platform may have closed an idle connection, which would look like a lost answer.
    request.freshConnection = true;
    if (!body.empty()) {
        request.headers.emplace_back("content-type", method == "PUT" ? "application/octet-stream" : "application/json");
        request.body = RequestBody(body);
    }
    return m_client.send(std::move(request));
}

} // namespace nutmeghinge
