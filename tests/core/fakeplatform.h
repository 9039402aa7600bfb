#pragma once

#include "effects.h"
#include "events.h"

#include <map>
#include <optional>
#include <string>

namespace nutmeghinge {

/** In-memory table of the platform with the rows of one cell. A write is conditional on the row's version. */
class FakePlatform
{
public:
    std::variant<RowWritten, WriteConflict, PlatformUnavailable> write(const WriteCellRow &effect)
    {
        const RowVersion present = row ? row->version : RowVersion(0);
        if (effect.expected != present) {
            return WriteConflict{};
        }
        ++writes;
        row = VersionedCellRow{effect.row, RowVersion(present.value() + 1)};
        return RowWritten{row->version};
    }
    std::variant<VersionedCellRow, RowAbsent, PlatformUnavailable> read() const
    {
        if (row) {
            return *row;
        }
        return RowAbsent{};
    }
    std::variant<DocumentCopy, RowAbsent, PlatformUnavailable> readDocument(DocumentRevision known) const
    {
        if (document.revision == DocumentRevision()) {
            return RowAbsent{};
        }
        return document.revision > known ? document : DocumentCopy{document.revision, ""};
    }
    std::vector<Member> memberRows() const
    {
        std::vector<Member> rows;
        for (const auto &[node, member] : members) {
            rows.push_back(member);
        }
        return rows;
    }
    /** Stores the text as the next revision of the document. */
    void put(std::string text) { document = DocumentCopy{DocumentRevision(document.revision.value() + 1), std::move(text)}; }

    bool down = false;
    /** Writes take effect, but their answers are lost. */
    bool losesAnswers = false;
    Duration delay = std::chrono::milliseconds(3);
    std::optional<VersionedCellRow> row;
    std::map<NodeName, Member> members;
    DocumentCopy document;
    std::uint64_t writes = 0;
};

} // namespace nutmeghinge
