#include "connectionbudget.h"

#include <algorithm>
#include <tuple>

namespace nutmeghinge {

namespace {

/** Share of the descriptors that clients cannot take, and number of descriptors that are no connections. */
constexpr std::uint64_t ownShareDivisor = 8;
constexpr std::uint64_t otherDescriptors = 16;

} // namespace

ConnectionBudget::ConnectionBudget(std::uint64_t descriptors)
    : m_limit(descriptors - std::min(descriptors, descriptors / ownShareDivisor + otherDescriptors))
{
}

bool ConnectionBudget::makeRoom(std::size_t descriptors)
{
    while (used() + descriptors > m_limit) {
        ++m_closed;
        Holder *victim = chooseVictim();
        if (victim == nullptr) {
            return false;
        }
        remove(*victim);
        victim->closeForRoom();
    }
    return true;
}

void ConnectionBudget::add(Holder &holder, std::size_t descriptors)
{
    if (m_holders.emplace(&holder, descriptors).second) {
        m_usedByClients += descriptors;
    }
}

void ConnectionBudget::remove(Holder &holder)
{
    const auto found = m_holders.find(&holder);
    if (found != m_holders.end()) {
        m_usedByClients -= found->second;
        m_holders.erase(found);
    }
}

ConnectionBudget::Holder *ConnectionBudget::chooseVictim() const
{
    Holder *chosen = nullptr;
    const auto rank = [](const Holder &holder) { return std::tuple(holder.hasServed(), holder.idleSince()); };
    for (const auto &[holder, descriptors] : m_holders) {
        if (holder->isClosable() && (chosen == nullptr || rank(*holder) < rank(*chosen))) {
            chosen = holder;
        }
    }
    return chosen;
}

} // namespace nutmeghinge
