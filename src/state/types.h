#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace snipehall {

// Offset of a record in the platform's log, from 1. Zero means "none". The
// offset of an accepted record is the fencing token of what it changes.
using LogOffset = std::uint64_t;

// Random number that a process draws when it starts.
using Incarnation = std::uint64_t;

// Rate of an instance's link, Mbit/s; zero when it is not known.
using LinkRate = std::uint32_t;
using InstanceId = std::string;
using TargetId = std::string;
using ZoneName = std::string;
using ServiceName = std::string;
using GroupId = std::string;

// Time on the monotonic clock of this instance.
using MonotonicTime = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

}  // namespace snipehall
