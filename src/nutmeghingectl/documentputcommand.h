#pragma once

#include "command.h"

namespace nutmeghinge {

/** Stores a document file as the next revision, unless another edit was accepted first. */
class DocumentPutCommand : public Command
{
public:
    std::string name() const override { return "document put"; }
    std::string usage() const override { return "FILE --platform ADDRESS:PORT [--base REVISION] [--editor NAME]"; }
    std::string purpose() const override { return "check a file and store it as the next revision"; }
    ExitCode run(const std::vector<std::string> &arguments) override;
};

} // namespace nutmeghinge
