#include "targetdepartures.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** More targets than leave one VM while a message of one of them may still be on its way. */
constexpr std::size_t departuresLimit = 8;

} // namespace

bool TargetDepartures::add(const TargetInstance &departed)
{
    if (covers(departed)) {
        return false;
    }
    std::erase_if(m_departed, [&](const TargetInstance &known) { return known.name == departed.name; });
    if (m_departed.size() >= departuresLimit) {
        m_departed.erase(m_departed.begin());
    }
    m_departed.push_back(departed);
    return true;
}

bool TargetDepartures::covers(const TargetInstance &target) const
{
    return std::any_of(m_departed.begin(), m_departed.end(), [&](const TargetInstance &known) {
        return known.name == target.name && target.incarnation <= known.incarnation;
    });
}

} // namespace nutmeghinge
