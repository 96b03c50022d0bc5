#pragma once

#include <optional>
#include <string>

namespace radishladder::distribution {
struct DocumentBatch;

std::string encodeBatch(const DocumentBatch &batch);

//! std::nullopt if \a bytes hold no batch.
std::optional<DocumentBatch> decodeBatch(const std::string &bytes);
}
