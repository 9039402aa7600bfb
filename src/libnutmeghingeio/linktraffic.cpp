#include "linktraffic.h"

namespace nutmeghinge {

ByteCounts LinkTraffic::total() const
{
    ByteCounts total;
    for (const ConnectionUse use : {ConnectionUse::Callers, ConnectionUse::Peers, ConnectionUse::Control, ConnectionUse::Platform}) {
        total.sent += of(use).sent;
        total.received += of(use).received;
        total.waiting += of(use).waiting;
    }
    return total;
}

void LinkTraffic::answerDelivered(Duration duration) const
{
    if (m_delivered) {
        m_delivered(duration);
    }
}

void LinkTraffic::answerCut(const CutAnswer &answer) const
{
    if (m_cut) {
        m_cut(answer);
    }
}

void LinkTraffic::connectionEnded(const EndedConnection &connection)
{
    ++m_endedConnections[static_cast<std::size_t>(connection.lost)];
    if (m_ended) {
        m_ended(connection);
    }
}

const char *nameOf(ConnectionUse use)
{
    static constexpr std::array<const char *, LinkTraffic::uses> names{"callers", "peers", "control", "platform", "target"};
    return names[static_cast<std::size_t>(use)];
}

const char *nameOf(LostRequest lost)
{
    static constexpr std::array<const char *, LinkTraffic::lostRequestKinds> names{"unanswered", "answer-cut", "unfinished", "discarded"};
    return names[static_cast<std::size_t>(lost)];
}

} // namespace nutmeghinge
