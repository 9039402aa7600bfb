#pragma once

#include "command.h"

namespace nutmeghinge {

/** Puts a document's file as the next revision, unless another edit came first. */
class DocumentPutCommand : public Command
{
public:
    std::string name() const override { return "document put"; }
    std::string usage() const override { return "FILE --platform ADDRESS:PORT [--base REVISION] [--editor NAME]"; }
    std::string purpose() const override { return "make a checked file the next revision"; }
    ExitCode run(const std::vector<std::string> &arguments) override;
};

} // namespace nutmeghinge
