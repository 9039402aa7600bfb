#include "nodemetrics.h"

#include "linktraffic.h"
#include "requestrouter.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <optional>
#include <spdlog/fmt/fmt.h>
#include <string_view>
#include <unordered_map>

namespace nutmeghinge {

namespace {

namespace accumulators = boost::accumulators;

constexpr double milli = 1000;
constexpr std::array<double, 4> quantiles{0.5, 0.9, 0.99, 0.999};

using Seconds = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum, accumulators::tag::max, accumulators::tag::extended_p_square_quantile>>;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void appendCounter(std::string &text, std::string_view name, std::string_view help, std::uint64_t value)
{
    text += fmt::format("# HELP nutmeghinge_{0} {1}\n# TYPE nutmeghinge_{0} counter\nnutmeghinge_{0} {2}\n", name, help, value);
}

std::uint64_t millisecondsOf(Duration time)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

void appendGauge(std::string &text, std::string_view name, std::string_view help, std::uint64_t value)
{
    text += fmt::format("# HELP nutmeghinge_{0} {1}\n# TYPE nutmeghinge_{0} gauge\nnutmeghinge_{0} {2}\n", name, help, value);
}

void appendTraffic(std::string &text, std::string_view name, std::string_view help, const LinkTraffic &traffic, std::uint64_t ByteCounts::*count)
{
    const std::string_view type = count == &ByteCounts::waiting ? "gauge" : "counter";
    text += fmt::format("# HELP nutmeghinge_{0} {1}\n# TYPE nutmeghinge_{0} {2}\n", name, help, type);
    for (std::size_t i = 0; i < LinkTraffic::uses; ++i) {
        const auto use = static_cast<ConnectionUse>(i);
        text += fmt::format("nutmeghinge_{}{{use=\"{}\"}} {}\n", name, nameOf(use), traffic.of(use).*count);
    }
}

void appendUnknown(std::string &text, const std::array<std::uint64_t, unknownCauses> &counts)
{
    constexpr std::string_view name = "requests_unknown_to_callers_total";
    text += fmt::format("# HELP nutmeghinge_{0} Requests of this node's callers that ended with an unknown outcome, by cause.\n", name);
    text += fmt::format("# TYPE nutmeghinge_{0} counter\n", name);
    for (std::size_t cause = 0; cause < counts.size(); ++cause) {
        text += fmt::format("nutmeghinge_{}{{cause=\"{}\"}} {}\n", name, nameOf(static_cast<UnknownCause>(cause)), counts[cause]);
    }
}

void appendEndedConnections(std::string &text, const LinkTraffic &traffic)
{
    constexpr std::string_view name = "connections_ended_on_requests_total";
    text += fmt::format("# HELP nutmeghinge_{0} Connections that the node ended although their clients waited for an answer, by what was lost.\n", name);
    text += fmt::format("# TYPE nutmeghinge_{0} counter\n", name);
    for (std::size_t i = 0; i < LinkTraffic::lostRequestKinds; ++i) {
        const auto lost = static_cast<LostRequest>(i);
        text += fmt::format("nutmeghinge_{}{{lost=\"{}\"}} {}\n", name, nameOf(lost), traffic.endedConnections(lost));
    }
}

void appendSummary(std::string &text, std::string_view name, std::string_view help, const Seconds &seconds)
{
    text += fmt::format("# HELP nutmeghinge_{0} {1}\n# TYPE nutmeghinge_{0} summary\n", name, help);
    const auto count = accumulators::count(seconds);
    if (count > 0) {
        for (const double probability : quantiles) {
            text += fmt::format("nutmeghinge_{}{{quantile=\"{}\"}} {:.6f}\n",
                                name,
                                probability,
                                accumulators::quantile(seconds, accumulators::quantile_probability = probability));
        }
        text += fmt::format("nutmeghinge_{}{{quantile=\"1\"}} {:.6f}\n", name, (accumulators::max)(seconds));
    }
    text += fmt::format("nutmeghinge_{0}_sum {1:.6f}\nnutmeghinge_{0}_count {2}\n", name, accumulators::sum(seconds), count);
}

} // namespace

struct NodeMetrics::Private {
    Seconds requestSeconds{accumulators::extended_p_square_probabilities = quantiles};
    Seconds targetSeconds{accumulators::extended_p_square_probabilities = quantiles};
    Seconds deliverySeconds{accumulators::extended_p_square_probabilities = quantiles};
    Seconds documentDelaySeconds{accumulators::extended_p_square_probabilities = quantiles};
    std::unordered_map<RequestId, MonotonicTime> requestStarts;
    struct Attempt {
        RequestId request;
        MonotonicTime start;
        bool toTarget = false;
    };
    std::unordered_map<AttemptId, Attempt> attempts;
    std::uint64_t tableReads = 0;
    std::uint64_t tableWrites = 0;
    std::uint64_t tableRestorations = 0;
    TableEpoch tableEpoch;

    void endRequest(RequestId request, MonotonicTime now);
    void endAttempt(const AttemptFinished &finished, MonotonicTime now);
};

void NodeMetrics::Private::endRequest(RequestId request, MonotonicTime now)
{
    const auto start = requestStarts.find(request);
    if (start == requestStarts.end()) {
        return;
    }
    requestSeconds(secondsOf(now - start->second));
    requestStarts.erase(start);
}

void NodeMetrics::Private::endAttempt(const AttemptFinished &finished, MonotonicTime now)
{
    const auto attempt = attempts.find(finished.attempt);
    if (attempt == attempts.end()) {
        return;
    }
    if (std::holds_alternative<AttemptAnswered>(finished.result)) {
        if (attempt->second.toTarget) {
            targetSeconds(secondsOf(now - attempt->second.start));
        }
        endRequest(attempt->second.request, now);
    }
    const auto *unknown = std::get_if<AttemptUnknown>(&finished.result);
    if (unknown && unknown->answerBegun) {
        requestStarts.erase(attempt->second.request);
    }
    attempts.erase(attempt);
}

NodeMetrics::NodeMetrics()
    : m_d(std::make_unique<Private>())
{
}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::observeEvent(const Event &event)
{
    if (const auto *arrived = std::get_if<RequestArrived>(&event.body)) {
        m_d->requestStarts.emplace(arrived->request, event.at);
    } else if (const auto *cancelled = std::get_if<RequestCancelled>(&event.body)) {
        m_d->requestStarts.erase(cancelled->request);
    } else if (const auto *finished = std::get_if<AttemptFinished>(&event.body)) {
        m_d->endAttempt(*finished, event.at);
    } else if (const auto *changed = std::get_if<TableEpochChanged>(&event.body)) {
        m_d->tableRestorations += m_d->tableEpoch == TableEpoch() ? 0 : changed->epoch.value() - m_d->tableEpoch.value();
        m_d->tableEpoch = changed->epoch;
    }
}

void NodeMetrics::observeEffect(const Effect &effect, MonotonicTime now)
{
    if (const auto *send = std::get_if<SendToTarget>(&effect)) {
        m_d->attempts.emplace(send->attempt, Private::Attempt{send->request, now, true});
    } else if (const auto *forward = std::get_if<ForwardRequest>(&effect)) {
        m_d->attempts.emplace(forward->attempt, Private::Attempt{forward->request, now, false});
    } else if (const auto *refuse = std::get_if<RefuseRequest>(&effect)) {
        m_d->endRequest(refuse->request, now);
    } else if (const auto *stored = std::get_if<AnswerFromStore>(&effect)) {
        m_d->endRequest(stored->request, now);
    } else if (const auto *record = std::get_if<Record>(&effect)) {
        if (record->record.longestDelay) {
            m_d->documentDelaySeconds(secondsOf(*record->record.longestDelay));
        }
    } else if (std::holds_alternative<WriteCellRow>(effect) || std::holds_alternative<WriteMemberRow>(effect)) {
        ++m_d->tableWrites;
    } else if (std::holds_alternative<ReadCellRow>(effect) || std::holds_alternative<ReadMemberRows>(effect) || std::holds_alternative<ReadDocument>(effect)
               || std::holds_alternative<ReadCells>(effect)) {
        ++m_d->tableReads;
    }
}

void NodeMetrics::observeDelivery(Duration duration)
{
    m_d->deliverySeconds(secondsOf(duration));
}

std::string NodeMetrics::toText(const RequestCounters &requests, const DocumentState &documents, const AdapterCounters &adapters) const
{
    std::string text;
    appendCounter(text, "requests_arrived_total", "Requests received from callers and peers.", requests.arrived);
    appendCounter(text, "requests_answered_total", "Requests answered by a target.", requests.answered);
    appendCounter(text, "requests_not_run_total", "Requests refused without being executed.", requests.notRun);
    appendCounter(
        text, "requests_refused_for_link_total", "Requests of peers refused because the link could not carry their answers in time.", requests.refusedForLink);
    appendCounter(
        text, "attempts_work_time_expired_total", "Attempts that targets ended because a stop would leave them no more time.", requests.workTimeExpired);
    appendCounter(text, "requests_unknown_total", "Requests that ended with an unknown outcome.", requests.unknown);
    appendUnknown(text, requests.unknownToCallers);
    appendCounter(text, "forwards_cancelled_total", "Attempts at other nodes given up because the owners of their keys were lost.", requests.forwardsCancelled);
    appendCounter(text, "requests_forwarded_total", "Requests forwarded to another node.", requests.forwarded);
    appendCounter(text, "target_requests_total", "Requests sent to the target beside this node, retries included.", requests.sentToTarget);
    appendCounter(text, "target_crashes_total", "Incarnations of the target that ended without having announced it.", requests.targetCrashes);
    appendCounter(text, "suspects_refused_total", "Requests refused because targets had crashed while they ran the same request.", requests.refusedAsSuspect);
    appendGauge(text, "crash_suspects", "Requests known that targets may have crashed under.", requests.crashSuspects);
    if (requests.targetLimit) {
        const auto limit = static_cast<std::uint64_t>(requests.targetLimit->value() * milli);
        appendGauge(text, "target_limit_millirequests_per_second", "Limit that the target names; absent if it names none.", limit);
    }
    appendCounter(text, "retries_total", "Retries of requests.", requests.retries);
    appendCounter(text, "retries_denied_total", "Retries denied by the retry budget.", requests.retriesDenied);
    appendCounter(text, "duplicates_joined_total", "Duplicate requests that joined one in progress.", requests.duplicatesJoined);
    appendCounter(text, "duplicates_answered_total", "Duplicate requests answered from the deduplication memory.", requests.duplicatesAnswered);
    appendGauge(text, "requests_in_flight", "Requests that the target is executing.", requests.inFlight);
    appendGauge(text, "requests_queued", "Requests waiting for the target or for an owner.", requests.queued);
    appendCounter(text, "control_messages_total", "Control messages sent to peers.", adapters.controlMessages);
    appendCounter(text, "control_bytes_total", "Bytes of control messages sent to peers.", adapters.controlBytes);
    appendCounter(text, "table_reads_total", "Read requests sent to the platform.", m_d->tableReads);
    appendCounter(text, "table_writes_total", "Write requests sent to the platform.", m_d->tableWrites);
    appendCounter(text, "table_restorations_total", "Restorations of the platform's table from an older copy, since the node started.", m_d->tableRestorations);
    appendGauge(text, "table_largest_row_bytes", "Size of the largest value written to the platform's table.", adapters.largestRowBytes);
    const MembershipState &membership = adapters.membership;
    appendGauge(text, "cell_members", "Members of the cell.", membership.members);
    appendGauge(text, "cell_members_ended", "Members known to have ended.", membership.ended);
    appendGauge(text, "cell_members_leaving", "Members that have announced that they leave.", membership.leaving);
    appendGauge(text, "cell_voters", "Members whose votes count.", membership.voters);
    appendGauge(text, "cell_votes", "Voters that vote for this node as coordinator or candidate.", membership.votes);
    appendGauge(text, "cell_votes_needed", "Votes that this node needs as coordinator or candidate.", membership.votesNeeded);
    appendGauge(text, "cell_nodes_waiting", "Nodes that ask this coordinator to join and are not members.", membership.waiting);
    appendGauge(text, "cell_longest_wait_ms", "Longest time for which one of them has asked.", millisecondsOf(membership.longestWait));
    appendCounter(text, "cell_member_changes_total", "Changes of members by this coordinator that a majority knows.", membership.changes);
    appendGauge(text, "cell_latest_member_change_ms", "Time until a majority knew the latest of them.", millisecondsOf(membership.latestChange));
    appendGauge(
        text, "cell_nodes_without_room", "Nodes that the cell does not admit because it is full; 0 at all but its coordinator.", adapters.nodesWithoutRoom);
    appendCounter(text, "refused_inputs_total", "Requests refused for invalid framing or excessive size.", adapters.refusedInputs);
    appendGauge(text, "caller_connections", "Open connections from callers.", adapters.callerConnections);
    appendGauge(text, "client_memory_bytes", "Memory held for clients: requests, and answers that were not sent.", adapters.clientMemoryBytes);
    appendGauge(text, "client_memory_limit_bytes", "Limit of the memory held for clients.", adapters.clientMemoryLimitBytes);
    appendCounter(text, "client_memory_refusals_total", "Times that memory for a client was refused or reclaimed.", adapters.clientMemoryRefusals);
    appendGauge(text, "connections", "Descriptors of connections, of clients and of the node itself.", adapters.connections);
    appendGauge(text, "connection_limit", "Descriptors of connections beyond which those of clients are closed.", adapters.connectionLimit);
    appendCounter(text, "connections_closed_for_room_total", "Client connections closed for want of descriptors.", adapters.connectionsClosedForRoom);
    appendGauge(text, "document_revision", "Revision of the document in force.", documents.revision.value());
    if (documents.age) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(*documents.age).count();
        appendGauge(text,
                    "document_unconfirmed_milliseconds",
                    "Time since the document in force was last known to be the newest; absent if it never was.",
                    static_cast<std::uint64_t>(age));
    }
    appendSummary(text,
                  "document_longest_delay_seconds",
                  "Time from when the earlier document was last known to be the newest until a newer one was in force.",
                  m_d->documentDelaySeconds);
    appendSummary(text, "request_seconds", "Time from the arrival of a request to its complete answer.", m_d->requestSeconds);
    appendSummary(text, "answer_delivery_seconds", "Time from the start of an answer until the system has taken its last byte.", m_d->deliverySeconds);
    appendCounter(text, "answers_cut_total", "Answers whose connection closed before the system had taken their last byte.", adapters.cutAnswers);
    if (adapters.traffic != nullptr) {
        appendEndedConnections(text, *adapters.traffic);
    }
    appendGauge(text, "loop_lag_ms", "Longest time by which events were handled late in the last seconds.", millisecondsOf(adapters.recentLag));
    appendCounter(text, "late_events_total", "Events that were handled over 100 ms late.", adapters.lateEvents);
    if (adapters.traffic != nullptr) {
        appendTraffic(text, "sent_bytes_total", "Bytes sent, by the use of the connection.", *adapters.traffic, &ByteCounts::sent);
        appendTraffic(text, "received_bytes_total", "Bytes received, by the use of the connection.", *adapters.traffic, &ByteCounts::received);
        appendTraffic(text, "waiting_bytes", "Bytes that the system has not taken yet, by the use of the connection.", *adapters.traffic, &ByteCounts::waiting);
    }
    appendSummary(text, "target_seconds", "Time from sending a request to the target to its complete answer.", m_d->targetSeconds);
    return text;
}

} // namespace nutmeghinge
