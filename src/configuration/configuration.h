/// @file
/// @brief The fleet document on its way: adoption only upward, spread between
/// hosts, and the operators' conditional change.
#pragma once

#include "configuration/detail/apply.h"
#include "configuration/detail/delta.h"
#include "configuration/detail/store.h"
