// The log event for an attempt that did not produce the caller's response. Several steps of a request emit it.
//
//   log::logEvent(attemptEnded, { { "request", id }, { "step", "reserve" }, { "outcome", "not-run" } });
#pragma once

#include "log/Event.h"

namespace coriandergate::relay {

inline const log::Event attemptEnded { 1901, log::Severity::Info, "attempt ended",
    "an attempt that did not produce the caller's response; a retry may follow" };

} // namespace coriandergate::relay
