#pragma once

#include "blockingclient.h"
#include "endpoint.h"
#include "ids.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace nutmeghinge {

/** One revision of a service's document, as listed in the service's row. */
struct DocumentEntry {
    DocumentRevision revision{0};
    /** Name of the object that holds the text. */
    std::string object;
    /** Who stored the revision; empty if the row does not say. */
    std::string editor;
    /** Time (UTC) at which it was stored; empty if the row does not say. */
    std::string at;

    friend bool operator==(const DocumentEntry &, const DocumentEntry &) = default;
};

/** The row of a service's document; version and revision are 0 if there is no row. */
struct DocumentHistory {
    RowVersion version{0};
    DocumentEntry inForce;
    /** Earlier revisions, oldest first. */
    std::vector<DocumentEntry> previous;

    /** Returns the entry of the revision, or null if the row does not list it. */
    const DocumentEntry *find(DocumentRevision revision) const;
};

/** One revision of a document with its text. */
struct DocumentText {
    DocumentEntry entry;
    std::string text;
};

/** Reading or writing a document failed. As the outcome of a put, it means that the edit was not accepted. */
struct StoreError {
    std::string reason;
};

/** A document text to store as the next revision. */
struct DocumentEdit {
    ServiceName service;
    std::string text;
    std::string editor;
    /** Revision that the edit is based on; if not set, the one in force. */
    std::optional<DocumentRevision> base;
};

/** The edit was stored as this revision. */
struct EditAccepted {
    DocumentRevision revision;
};

/** The revision in force is not the one that the edit is based on. */
struct EditConflict {
    DocumentRevision base;
    DocumentEntry inForce;
};

/** The row is unchanged, and no request in progress could still change it. */
struct EditNotAccepted {
    DocumentRevision base;
    std::string reason;
};

/** The platform may have accepted the edit, or may still accept it. */
struct EditUnknown {
    DocumentRevision base;
    std::string reason;
};

using EditOutcome = std::variant<EditAccepted, EditConflict, EditNotAccepted, EditUnknown, StoreError>;

/** Reads and writes the documents of services in the platform's table and object store. Calls block. */
class DocumentStore
{
public:
    explicit DocumentStore(Endpoint platform);

    /** Reads the row of the service's document. */
    std::variant<DocumentHistory, StoreError> read(const ServiceName &service);
    /** Reads the text of a revision. */
    std::variant<std::string, StoreError> text(const DocumentEntry &entry);
    /** Reads the entry and the text of the revision; of the one in force if revision is not set. */
    std::variant<DocumentText, StoreError> textOf(const ServiceName &service, std::optional<DocumentRevision> revision);
    /** Stores the edit as the revision after its base, unless another edit was accepted first. */
    EditOutcome put(const DocumentEdit &edit);

private:
    CollectedAnswer send(const std::string &method, const std::string &path, const std::string &body = {});
    std::optional<StoreError> putObject(const std::string &name, const std::string &text);
    EditOutcome transact(const ServiceName &service, const DocumentHistory &before, const DocumentEntry &entry);
    EditOutcome conflict(const ServiceName &service, const DocumentHistory &before);
    /** Reads the row again to find out whether the write was accepted although it got no successful answer. */
    EditOutcome resolveOutcome(const ServiceName &service, const DocumentHistory &before, const DocumentEntry &entry, const CollectedAnswer &answer);
    std::variant<DocumentHistory, StoreError> readWithRetries(const ServiceName &service);

    Endpoint m_platform;
    BlockingClient m_client;
};

} // namespace nutmeghinge
