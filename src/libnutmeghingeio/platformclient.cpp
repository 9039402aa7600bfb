#include "platformclient.h"

#include "cellrowcodec.h"
#include "cellrowkey.h"
#include "httpclient.h"
#include "membercodec.h"
#include "peermessagecodec.h"
#include "platformkeys.h"
#include "platformtable.h"

#include <map>
#include <spdlog/spdlog.h>

namespace nutmeghinge {

namespace {

/** Content of the row of a document: its latest revision and the object that holds the text. */
struct DocumentPointer {
    DocumentRevision revision;
    std::string object;
};

std::variant<DocumentPointer, JsonError> documentPointerOf(const std::string &text)
{
    JsonReader reader;
    const nlohmann::json json = reader.parse(text);
    DocumentPointer pointer{DocumentRevision(reader.number(json, "revision")), reader.text(json, "object")};
    if (reader.error()) {
        return JsonError{*reader.error()};
    }
    return pointer;
}

/** Reads the values of several rows. An invalid row is logged and skipped, so that the others stay readable. */
template <typename Value>
std::vector<Value> valuesOf(const std::vector<TableRow> &rows, std::variant<Value, JsonError> (*read)(std::string_view))
{
    std::vector<Value> values;
    for (const TableRow &row : rows) {
        auto value = read(row.value);
        if (const auto *error = std::get_if<JsonError>(&value)) {
            spdlog::error("platform: skipped invalid row {}: {}", row.key, error->reason);
            continue;
        }
        values.push_back(std::get<Value>(std::move(value)));
    }
    return values;
}

std::vector<VersionedMemberRow> memberRowsOf(const std::vector<TableRow> &rows)
{
    std::vector<VersionedMemberRow> members;
    for (const TableRow &row : rows) {
        auto member = MemberCodec::rowFromText(row.value);
        if (const auto *error = std::get_if<JsonError>(&member)) {
            spdlog::error("platform: skipped invalid row {}: {}", row.key, error->reason);
            continue;
        }
        members.push_back({std::get<MemberRow>(std::move(member)), row.version});
    }
    return members;
}

PlatformUnavailable invalidRow(const std::string &key, const JsonError &error)
{
    spdlog::error("platform: row {} is invalid: {}", key, error.reason);
    return {};
}

std::variant<VersionedCellRow, RowAbsent, PlatformUnavailable> cellRowOf(const TableRow &row, TableEpoch writtenIn, TableEpoch epoch)
{
    auto cell = CellRowCodec::fromText(row.value);
    if (const auto *error = std::get_if<JsonError>(&cell)) {
        return invalidRow(row.key, *error);
    }
    return VersionedCellRow{std::get<CellRow>(std::move(cell)), writtenIn == epoch ? row.version : RowVersion(0), writtenIn};
}

/** Returns the last row of each cell. The rows are in the order of their keys, so those of later epochs come later. */
std::vector<CellRow> newestOfEachCell(std::vector<CellRow> rows)
{
    std::map<ServiceName, CellRow> newest;
    for (CellRow &row : rows) {
        newest.insert_or_assign(row.service, std::move(row));
    }
    std::vector<CellRow> result;
    result.reserve(newest.size());
    for (auto &[service, row] : newest) {
        result.push_back(std::move(row));
    }
    return result;
}

} // namespace

struct PlatformClient::Private {
    Private(EventLoop &loop, HttpClient &client, Endpoint platform, EventFunction eventFunction)
        : table(loop, client, std::move(platform))
        , events(std::move(eventFunction))
    {
        table.setEpochFunction([this](TableEpoch epoch) {
            earlierCellRows.clear();
            events(TableEpochChanged{epoch});
        });
    }

    /** Wraps a result function so that it is only called while this object exists. */
    template <typename Function>
    auto whileAlive(Function function)
    {
        return [this, exists = std::weak_ptr<void>(alive), function = std::move(function)](auto result) {
            if (!exists.expired()) {
                function(*this, std::move(result));
            }
        };
    }

    /** Reads the cell's row in a table that does not count its restorations. */
    void readOnlyCellRow(const ServiceName &service)
    {
        const auto finished = [service](Private &self, const std::variant<TableRow, RowAbsent, PlatformUnavailable> &result) {
            CellRowRead event{service, PlatformUnavailable()};
            if (self.table.epoch() != TableEpoch()) {
                // The rows of the epoch that this answer states have other keys.
                self.events(std::move(event));
                return;
            }
            if (std::holds_alternative<RowAbsent>(result)) {
                event.result = RowAbsent();
            } else if (const auto *row = std::get_if<TableRow>(&result)) {
                event.result = cellRowOf(*row, TableEpoch(), TableEpoch());
            }
            self.events(std::move(event));
        };
        table.readRow(platformkeys::cellRow(service), whileAlive(finished));
    }

    /** Reads the rows of all epochs; the newest counts. */
    void readNewestCellRow(const ServiceName &service)
    {
        const auto finished = [service](Private &self, const std::variant<std::vector<TableRow>, PlatformUnavailable> &result) {
            CellRowRead event{service, PlatformUnavailable()};
            if (const auto *rows = std::get_if<std::vector<TableRow>>(&result)) {
                event.result = self.newestCellRow(service, *rows);
            }
            self.events(std::move(event));
        };
        table.readRows(platformkeys::cellRow(service), whileAlive(finished));
    }

    std::variant<VersionedCellRow, RowAbsent, PlatformUnavailable> newestCellRow(const ServiceName &service, const std::vector<TableRow> &rows)
    {
        earlierCellRows.clear();
        const TableRow *newest = nullptr;
        TableEpoch writtenIn;
        for (const TableRow &row : rows) {
            const std::optional<TableEpoch> epoch = epochOfCellRowKey(platformkeys::cellRow(service), row.key);
            if (!epoch || *epoch > table.epoch()) {
                continue;
            }
            if (*epoch < table.epoch()) {
                earlierCellRows.push_back({row.key, row.version});
            }
            if (!newest || *epoch > writtenIn) {
                newest = &row;
                writtenIn = *epoch;
            }
        }
        if (!newest) {
            return RowAbsent();
        }
        return cellRowOf(*newest, writtenIn, table.epoch());
    }

    /** Reads the member row that a conditional write has found in another version, and reports it. */
    void reportMemberConflict(const std::string &key)
    {
        const auto finished = [](Private &self, const std::variant<TableRow, RowAbsent, PlatformUnavailable> &result) {
            MemberRowWriteFinished event{PlatformUnavailable()};
            if (std::holds_alternative<RowAbsent>(result)) {
                event.result = MemberRowConflict{};
            } else if (const auto *row = std::get_if<TableRow>(&result)) {
                auto present = MemberCodec::rowFromText(row->value);
                if (const auto *error = std::get_if<JsonError>(&present)) {
                    spdlog::error("platform: row {} is invalid and will be replaced: {}", row->key, error->reason);
                }
                auto *readable = std::get_if<MemberRow>(&present);
                event.result = MemberRowConflict{VersionedMemberRow{readable ? std::move(*readable) : MemberRow(), row->version}};
            }
            self.events(std::move(event));
        };
        table.readRow(key, whileAlive(finished));
    }

    void readDocument(const ServiceName &service, DocumentRevision known, const TableRow &row)
    {
        const auto read = documentPointerOf(row.value);
        if (const auto *error = std::get_if<JsonError>(&read)) {
            events(DocumentRead{service, invalidRow(row.key, *error)});
            return;
        }
        const auto &pointer = std::get<DocumentPointer>(read);
        if (pointer.revision <= known) {
            events(DocumentRead{service, DocumentCopy{pointer.revision, {}}});
            return;
        }
        table.readObject(pointer.object,
                         whileAlive([service, revision = pointer.revision](Private &self, std::variant<std::string, PlatformUnavailable> result) {
                             self.documentReceived(service, revision, std::move(result));
                         }));
    }

    void documentReceived(const ServiceName &service, DocumentRevision revision, std::variant<std::string, PlatformUnavailable> result)
    {
        auto *text = std::get_if<std::string>(&result);
        if (text == nullptr) {
            events(DocumentRead{service, PlatformUnavailable()});
            return;
        }
        if (text->size() > PeerMessageCodec::maxDocumentBytes) {
            spdlog::error("platform: revision {} of the document of service {} is over the size limit", revision.value(), service.value());
            events(DocumentRead{service, PlatformUnavailable()});
            return;
        }
        events(DocumentRead{service, DocumentCopy{revision, std::move(*text)}});
    }

    PlatformTable table;
    EventFunction events;
    /** Rows of the cell that earlier epochs left behind; deleted with the first write of this epoch. */
    std::vector<RowCondition> earlierCellRows;
    /** Referenced weakly by outstanding calls, so that answers are ignored once the client is destroyed. */
    std::shared_ptr<void> alive = std::make_shared<char>();
};

PlatformClient::PlatformClient(EventLoop &loop, HttpClient &client, Endpoint platform, EventFunction events)
    : m_d(std::make_unique<Private>(loop, client, std::move(platform), std::move(events)))
{
}

PlatformClient::~PlatformClient() = default;

void PlatformClient::run(const ReadCellRow &effect)
{
    if (m_d->table.epoch() == TableEpoch()) {
        m_d->readOnlyCellRow(effect.service);
    } else {
        m_d->readNewestCellRow(effect.service);
    }
}

void PlatformClient::run(const WriteCellRow &effect)
{
    const std::string key = cellRowKey(platformkeys::cellRow(effect.row.service), effect.epoch);
    std::vector<RowCondition> conditions{{key, effect.expected}};
    std::vector<std::string> deletes;
    if (effect.expected == RowVersion(0)) {
        for (const RowCondition &earlier : m_d->earlierCellRows) {
            conditions.push_back(earlier);
            deletes.push_back(earlier.key);
        }
    }
    using Result = std::variant<RowWritten, WriteConflict, PlatformUnavailable>;
    const auto finished = [service = effect.row.service, epoch = effect.epoch](Private &self, const Result &result) {
        CellRowWriteFinished event{service, PlatformUnavailable()};
        std::visit([&](const auto &outcome) { event.result = outcome; }, result);
        if (epoch != self.table.epoch()) {
            spdlog::warn(
                "platform: writing the cell row has no effect: sent in epoch {} of the table, answered in epoch {}", epoch.value(), self.table.epoch().value());
            event.result = PlatformUnavailable();
        }
        self.events(std::move(event));
    };
    m_d->table.write(conditions, {key, CellRowCodec::toText(effect.row)}, m_d->whileAlive(finished), deletes);
}

void PlatformClient::run(const ReadMemberRows &effect)
{
    const auto finished = [service = effect.service](Private &self, const std::variant<std::vector<TableRow>, PlatformUnavailable> &result) {
        if (const auto *rows = std::get_if<std::vector<TableRow>>(&result)) {
            self.events(MemberRowsRead{service, memberRowsOf(*rows)});
            return;
        }
        self.events(MemberRowsRead{service, PlatformUnavailable()});
    };
    m_d->table.readRows(platformkeys::memberPrefix(effect.service), m_d->whileAlive(finished));
}

void PlatformClient::run(const WriteMemberRow &effect)
{
    const std::string key = platformkeys::memberRow(effect.service, effect.row.member.node);
    const auto finished = [key](Private &self, const std::variant<RowWritten, WriteConflict, PlatformUnavailable> &result) {
        if (const auto *written = std::get_if<RowWritten>(&result)) {
            self.events(MemberRowWriteFinished{*written});
        } else if (std::holds_alternative<WriteConflict>(result)) {
            self.reportMemberConflict(key);
        } else {
            self.events(MemberRowWriteFinished{PlatformUnavailable()});
        }
    };
    m_d->table.write({{key, effect.expected}}, {key, MemberCodec::rowToText(effect.row)}, m_d->whileAlive(finished));
}

void PlatformClient::run(const ReadDocument &effect)
{
    const auto finished = [service = effect.service, known = effect.known](Private &self,
                                                                           const std::variant<TableRow, RowAbsent, PlatformUnavailable> &result) {
        if (const auto *row = std::get_if<TableRow>(&result)) {
            self.readDocument(service, known, *row);
            return;
        }
        if (std::holds_alternative<RowAbsent>(result)) {
            self.events(DocumentRead{service, RowAbsent()});
            return;
        }
        self.events(DocumentRead{service, PlatformUnavailable()});
    };
    m_d->table.readRow(platformkeys::documentRow(effect.service), m_d->whileAlive(finished));
}

/** Reports the platform as unavailable: the native protocol has no long poll, so the node polls the document instead. */
void PlatformClient::run(const FollowDocument &)
{
    m_d->events(DocumentFollowed{PlatformUnavailable(), RowVersion()});
}

void PlatformClient::run(const ReadCells &)
{
    const auto finished = [](Private &self, const std::variant<std::vector<TableRow>, PlatformUnavailable> &result) {
        if (const auto *rows = std::get_if<std::vector<TableRow>>(&result)) {
            self.events(CellsRead{newestOfEachCell(valuesOf<CellRow>(*rows, CellRowCodec::fromText))});
            return;
        }
        self.events(CellsRead{PlatformUnavailable()});
    };
    m_d->table.readRows(platformkeys::cellPrefix, m_d->whileAlive(finished));
}

} // namespace nutmeghinge
