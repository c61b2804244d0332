// aldervale: a text compressed alone, or as a difference to one that the reader holds already
//
// Pure. By libzstd, whose frames carry a checksum of the whole text: bytes that are expanded with another base than they were made with, or
// that were spoilt, are refused, never taken for a text.
//
// Usage:
//   const std::string bytes = CompressText(text, base);               // base empty: stands alone
//   Result<std::string> same = ExpandText(bytes, base, text.size());

#pragma once
#include "common/verdict.h"
#include <string>
#include <string_view>

namespace aldervale
{

constexpr size_t kExpandedMax = 16 * 1024 * 1024; // bytes of a text that a reader takes

std::string         CompressText(std::string_view text, std::string_view base);
Result<std::string> ExpandText(std::string_view bytes, std::string_view base, size_t length); // exactly `length` bytes, or an error

} // namespace aldervale
