#pragma once

#include "soakobservation.h"

#include <string>
#include <vector>

/**
 * The promises that a run broke, each told with what showed it; empty where all
 * were kept. Goes by what callers and targets saw alone.
 */
std::vector<std::string> brokenPromises(const SoakObservations &observations);
