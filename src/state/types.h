#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace snipehall {

// Offset of a record in the platform's log, starting at 1; zero means "none".
// The offset of an accepted record is also the fencing token of the ranges that
// it assigns.
using LogOffset = std::uint64_t;

// Number of times that the platform's log was restored from an older copy, plus
// a constant. Records that were appended after the copy was made are lost then,
// also acknowledged ones, and their offsets are assigned again. Zero while the
// log does not count its restores.
using LogEra = std::uint64_t;

// Hash of what a request asks for; see DigestRequest().
using RequestDigest = std::uint64_t;

// Random number that a process chooses at its start, to distinguish it from
// earlier processes of the same instance.
using Incarnation = std::uint64_t;

// Rate of an instance's network link, Mbit/s; zero when it is not known.
using LinkRate = std::uint32_t;
using InstanceId = std::string;
using TargetId = std::string;
using ZoneName = std::string;
using ServiceName = std::string;
using GroupId = std::string;

// Time on this instance's monotonic clock; not comparable between instances.
using MonotonicTime = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

}  // namespace snipehall
