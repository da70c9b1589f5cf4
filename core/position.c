#include "core/position.h"

bool
position_make(uint64_t era, uint64_t version, uint64_t *position)
{
	if (era > POSITION_MAX_ERA || version > POSITION_MAX_VERSION)
		return false;
	*position = era << POSITION_VERSION_BITS | version;
	return true;
}

uint64_t
position_era(uint64_t position)
{
	return position >> POSITION_VERSION_BITS;
}

uint64_t
position_version(uint64_t position)
{
	return position & POSITION_MAX_VERSION;
}
