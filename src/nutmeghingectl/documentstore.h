#pragma once

#include "blockingclient.h"
#include "endpoint.h"
#include "ids.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace nutmeghinge {

/** One revision of a service's document, as the row names it. */
struct DocumentEntry {
    DocumentRevision revision{0};
    /** Name of the object that holds the text. */
    std::string object;
    /** Who put it and when, UTC; empty where the row does not say. */
    std::string editor;
    std::string at;

    friend bool operator==(const DocumentEntry &, const DocumentEntry &) = default;
};

/** The row of a service's document; version and revision 0 where there is none. */
struct DocumentHistory {
    RowVersion version{0};
    DocumentEntry inForce;
    /** Earlier revisions, oldest first. */
    std::vector<DocumentEntry> previous;

    /** Entry of the revision; null where the row does not name it. */
    const DocumentEntry *find(DocumentRevision revision) const;
};

/** One revision with its text. */
struct DocumentText {
    DocumentEntry entry;
    std::string text;
};

/** The platform did not answer, or not as it should; nothing has been accepted. */
struct StoreFault {
    std::string reason;
};

/** A text to put as the next revision. */
struct DocumentEdit {
    ServiceName service;
    std::string text;
    std::string editor;
    /** Revision that was edited; nothing: the one in force. */
    std::optional<DocumentRevision> base;
};

/** The edit is the revision. */
struct EditAccepted {
    DocumentRevision revision;
};

/** Another revision than the edited one is in force. */
struct EditConflict {
    DocumentRevision base;
    DocumentEntry inForce;
};

/** The row is as it was, and no request is under way that could still change it. */
struct EditNotAccepted {
    DocumentRevision base;
    std::string reason;
};

/** The platform may have accepted the edit, or may accept it yet. */
struct EditUnknown {
    DocumentRevision base;
    std::string reason;
};

using EditOutcome = std::variant<EditAccepted, EditConflict, EditNotAccepted, EditUnknown, StoreFault>;

/** Reads and writes the documents of services in the platform's table and objects. */
class DocumentStore
{
public:
    explicit DocumentStore(Endpoint platform);

    std::variant<DocumentHistory, StoreFault> read(const ServiceName &service);
    /** Text of a revision. */
    std::variant<std::string, StoreFault> text(const DocumentEntry &entry);
    /** Entry and text of a revision, or of the one in force. */
    std::variant<DocumentText, StoreFault> textOf(const ServiceName &service, std::optional<DocumentRevision> revision);
    /** Puts the edit as the revision after its base, unless another one came first. */
    EditOutcome put(const DocumentEdit &edit);

private:
    CollectedAnswer send(const std::string &method, const std::string &path, const std::string &body = {});
    std::optional<StoreFault> putObject(const std::string &name, const std::string &text);
    EditOutcome transact(const ServiceName &service, const DocumentHistory &before, const DocumentEntry &entry);
    EditOutcome conflict(const ServiceName &service, const DocumentHistory &before);
    EditOutcome lookUp(const ServiceName &service, const DocumentHistory &before, const DocumentEntry &entry, const CollectedAnswer &answer);
    std::variant<DocumentHistory, StoreFault> readPatiently(const ServiceName &service);

    Endpoint m_platform;
    BlockingClient m_client;
};

} // namespace nutmeghinge
