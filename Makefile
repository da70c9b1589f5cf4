# cranberryway: "make" builds the daemon and the command, "make check" builds
# and runs all tests.
#
# SAN=1 builds with the address and undefined behaviour sanitizers, into
# target-asan/ in place of target/.

# V=1 prints the commands that are run.
ifneq ($(V),1)
Q	= @
endif

CC	?= gcc
CXX	?= g++
SAN	?= 0
LIBS	= libevent evhtp libprotobuf-c glib-2.0 libsodium inih libxxhash libbsd jansson

ifeq ($(SAN),1)
B	= target-asan
SANFLAGS = -fsanitize=address,undefined -fno-sanitize-recover=undefined
OPT	= -O1
else
B	= target
OPT	= -O2
endif

WARN	= -Wall -Wextra -Werror
CPPFLAGS += -I. -D_GNU_SOURCE $(shell pkg-config --cflags $(LIBS))
CFLAGS	+= -std=gnu11 -g $(OPT) $(WARN) $(SANFLAGS)
CXXFLAGS += -std=gnu++17 -g $(OPT) $(WARN) -Wno-missing-field-initializers $(SANFLAGS)
LDLIBS	= $(shell pkg-config --libs $(LIBS)) -lhttp_parser -lm
LDFLAGS	+= $(SANFLAGS)

CORE	= account attempt balance bucket catalog confstate confsync control \
	  counters decision_log ended_row entry fate grant group hash histogram \
	  id_guard leave ledger limit local_target member_row membership msg \
	  node operator owners own_row ownership pool position pressure \
	  quota retry row_watch serve shed store_era target_past tree types verdict \
	  window
WIRE	= context frame_decode frame_encode http_syntax httpmap link.pb-c
CONFIG	= catalog_ini ini settings
DAEMON	= announce body decide dialect dialect_native flush front http_client \
	  http_message http_server holdings link log main operators pieces platform probe \
	  rows_native stream target task
PLATFORM = announce dialect json_list manifest rows
CLI	= cranberryway line_diff request builtin/check builtin/diff \
	  builtin/drain builtin/explain builtin/help builtin/key \
	  builtin/log builtin/show builtin/status builtin/submit
STANDIN	= standin-caller standin-crowd standin-platform standin-proxy standin-server standin-target
TESTS	= $(patsubst t/%.cc,%,$(wildcard t/test-*.cc))
BENCH	= $(patsubst bench/%.c,%,$(wildcard bench/bench-*.c))

CORE_O	= $(CORE:%=$(B)/core/%.o)
WIRE_O	= $(WIRE:%=$(B)/wire/%.o)
CONFIG_O = $(CONFIG:%=$(B)/config/%.o)
DAEMON_O = $(DAEMON:%=$(B)/daemon/%.o)
PLATFORM_O = $(PLATFORM:%=$(B)/platform/%.o)
# The daemon's objects without main(), which the tests are linked with.
DAEMON_T_O = $(filter-out $(B)/daemon/main.o,$(DAEMON_O))
CLI_O	= $(CLI:%=$(B)/cli/%.o)
LIB_O	= $(CORE_O) $(WIRE_O) $(CONFIG_O)

all: $(B)/cranberrywayd $(B)/cranberryway
standins: $(STANDIN:%=$(B)/%)
tests: $(TESTS:%=$(B)/%)
benches: $(BENCH:%=$(B)/%)

$(B)/cranberrywayd: $(DAEMON_O) $(PLATFORM_O) $(LIB_O)
	$(Q)$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$(B)/cranberryway: $(CLI_O) $(B)/daemon/log.o $(LIB_O)
	$(Q)$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$(B)/standin-platform: $(B)/t/standin-table.o $(B)/t/standin-journal.o
$(B)/standin-%: $(B)/t/standin-%.o $(B)/t/standin.o $(LIB_O)
	$(Q)$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$(B)/test-%: $(B)/t/test-%.o $(B)/t/replay.o $(B)/t/overload.o $(B)/cli/line_diff.o $(DAEMON_T_O) $(PLATFORM_O) $(LIB_O)
	$(Q)$(CXX) $(LDFLAGS) -o $@ $^ $(LDLIBS) -lgtest -lgtest_main -lpthread
$(B)/bench-%: $(B)/bench/bench-%.o $(B)/t/replay.o $(LIB_O)
	$(Q)$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(Q)$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<
$(B)/%.o: %.cc
	@mkdir -p $(@D)
	$(Q)$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<

-include $(shell find $(B) -name '*.d' 2>/dev/null)

# Generated code is committed, so that only a change of wire/link.proto needs
# protoc-c.
proto:
	protoc-c --c_out=. wire/link.proto

check: all standins tests
	t/run-tests $(B)

SOURCES	= $(shell git ls-files '*.c' '*.h' '*.cc' | grep -v pb-c)
format:
	clang-format -i $(SOURCES)
check-format:
	clang-format --dry-run -Werror $(SOURCES)
TIDY_SOURCES = $(shell git ls-files 'core/*.c' 'wire/*.c' 'config/*.c' 'daemon/*.c' 'platform/*.c' 'cli/*.c' | grep -v pb-c)
check-tidy:
	printf '%s\n' $(TIDY_SOURCES) | xargs -P 8 -n 4 sh -c 'clang-tidy --quiet "$$@" -- -std=gnu11 $(CPPFLAGS) 2>/dev/null' sh
# The core does no input or output and uses no clock or thread, so it may not
# include the headers for them.
check-core:
	! grep -nE '#include <(sys/socket|sys/stat|netinet|arpa|event2|evhtp|fcntl|pthread|unistd|time|sys/time|poll|signal)[./]' core/*.c core/*.h

clean:
	rm -rf target target-asan

.PHONY: all standins tests benches check format check-format check-tidy check-core proto clean
.SECONDARY:
