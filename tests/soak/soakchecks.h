#pragma once

#include "soakobservation.h"

#include <string>
#include <vector>

/**
 * Returns a message for each violated guarantee, with the evidence; empty if
 * there is none. Uses only what callers, targets and operators observed.
 */
std::vector<std::string> findViolations(const SoakObservations &observations);
