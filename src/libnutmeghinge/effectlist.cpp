#include "effectlist.h"

namespace nutmeghinge {

void EffectList::record(TimelineRecord record)
{
    record.time = m_now;
    ++m_now.counter;
    add(Record{std::move(record)});
}

} // namespace nutmeghinge
