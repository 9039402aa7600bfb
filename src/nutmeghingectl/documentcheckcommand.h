#pragma once

#include "command.h"

namespace nutmeghinge {

/** Checks a document file and prints every error. */
class DocumentCheckCommand : public Command
{
public:
    std::string name() const override { return "document check"; }
    std::string usage() const override { return "FILE [--json]"; }
    std::string purpose() const override { return "report every error of a document"; }
    ExitCode run(const std::vector<std::string> &arguments) override;
};

} // namespace nutmeghinge
