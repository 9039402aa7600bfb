#pragma once

#include "events.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace nutmeghinge {

/** Row of the accepted document in the platform's table, with the versions of its changes. The table can be restored from a copy. */
class FakeDocumentFeed
{
public:
    explicit FakeDocumentFeed(std::string text)
        : m_text(std::move(text))
    {
        put(Duration(0));
    }

    /** Accepts the next revision of the document. */
    void put(Duration now)
    {
        ++m_newest;
        store(now);
    }
    /** The operator writes the newest revision again. */
    void rewrite(Duration now) { store(now); }
    /** Returns to the state at the given time; the versions after it are given out again. */
    void restore(Duration time)
    {
        while (m_states.size() > 1 && m_states.back().at > time) {
            m_states.pop_back();
        }
    }
    /** Discards the changes up to now, so that they can only be read. */
    void dropHistory() { m_droppedUpTo = version(); }

    RowVersion version() const { return RowVersion(firstVersion + m_states.size()); }
    DocumentRevision newestRevision() const { return DocumentRevision(m_newest); }
    DocumentCopy read() const { return {DocumentRevision(m_states.back().revision), m_text}; }
    /** Returns the change after the version; RowAbsent if there is none yet. */
    std::variant<DocumentCopy, RowAbsent, HistoryLost> changeAfter(RowVersion after) const
    {
        if (after > version() || after < m_droppedUpTo) {
            return HistoryLost();
        }
        if (after == version()) {
            return RowAbsent();
        }
        return read();
    }

private:
    struct State {
        Duration at{0};
        std::uint64_t revision = 0;
    };
    static constexpr std::uint64_t firstVersion = 100;

    void store(Duration now) { m_states.push_back({now, m_newest}); }

    std::string m_text;
    std::uint64_t m_newest = 0;
    /** Contents of the row since the start, oldest first. */
    std::vector<State> m_states;
    RowVersion m_droppedUpTo;
};

} // namespace nutmeghinge
