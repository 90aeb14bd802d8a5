/// @file
/// @brief Distribution of the fleet document: hosts apply only newer versions
/// and propagate them to each other; operators change it by conditional writes.
#pragma once

#include "configuration/detail/apply.h"
#include "configuration/detail/delta.h"
#include "configuration/detail/store.h"
