// The log line of an attempt that did not answer its caller, which several steps of a request write.
#pragma once

#include "log/Event.h"

namespace coriandergate::relay {

inline const log::Event attemptEnded { 1901, log::Severity::Info, "attempt ended",
    "an attempt at a target that did not answer the caller; another may follow" };

} // namespace coriandergate::relay
