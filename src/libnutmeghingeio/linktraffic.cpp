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

const char *nameOf(ConnectionUse use)
{
    static constexpr std::array<const char *, LinkTraffic::uses> names{"callers", "peers", "control", "platform", "target"};
    return names[static_cast<std::size_t>(use)];
}

} // namespace nutmeghinge
