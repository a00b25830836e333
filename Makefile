# Everything is built into build/. `make check` and `make demo` are the two
# commands a newcomer needs; both install missing packages first.

CC ?= gcc
PKGS = libevent libevent_openssl msgpack glib-2.0 jansson libsodium libxxhash \
       libssl libcrypto libzstd
BUILD ?= build
SANITIZE ?=

PKG_CFLAGS = $(shell pkg-config --cflags $(PKGS))
PKG_LIBS = $(shell pkg-config --libs $(PKGS)) -lm
CHECK_LIBS = $(shell pkg-config --libs check)
CFLAGS ?= -O2 -g
ALL_CFLAGS = -std=c11 -D_GNU_SOURCE -Wall -Wextra -Wshadow -Wstrict-prototypes \
             -Wmissing-prototypes -Wformat=2 -Wpointer-arith -Wno-format-truncation -Werror \
             -Ilib $(PKG_CFLAGS) $(CFLAGS) $(SANITIZE)
LDFLAGS += $(SANITIZE)

MAKEFLAGS += --no-print-directory
LIB_SRC := $(sort $(wildcard lib/*/*.c platform/*.c))
LIB_OBJ := $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB := $(BUILD)/libmasticrelay.a

# A program is one file in programs/; files named programs/PROGRAM_*.c belong
# to PROGRAM.
PROGRAMS := $(filter masticrelayd masticrelaysd masticrelayctl,$(patsubst programs/%.c,%,$(wildcard programs/*.c)))
STANDINS := $(patsubst tests/standins/%.c,%,$(wildcard tests/standins/*_standin.c)) \
            $(patsubst tests/standins/%.c,%,$(wildcard tests/standins/fault_proxy.c))
UNIT := $(patsubst tests/unit/%.c,%,$(wildcard tests/unit/test_*.c))
INTEGRATION := $(patsubst tests/integration/%.c,%,$(wildcard tests/integration/test_*.c))
RUNNER_SRC := tests/common/runner.c
HARNESS_SRC := $(wildcard tests/integration/harness*.c tests/integration/trace.c) $(RUNNER_SRC)
WORLD_SRC := $(wildcard tests/integration/world*.c tests/integration/session_*.c)
# These start fleets and are linked with the test harness.
CAPACITY_FLEET := bench_capacity_fleet bench_capacity_connections bench_capacity_members
CAPACITY := bench_capacity_modules bench_capacity_structures $(CAPACITY_FLEET)
BENCH := $(filter-out bench_fleet $(CAPACITY_FLEET),$(patsubst bench/%.c,%,$(wildcard bench/bench_*.c)))
FLEET_SRC := bench/bench_fleet.c $(wildcard bench/fleet_*.c)
GSL_LIBS = $(shell pkg-config --libs gsl)
EXAMPLES := $(patsubst examples/%.c,%,$(filter-out examples/common_%.c,$(wildcard examples/*.c)))

SOURCES := $(sort $(wildcard lib/*.h lib/*/*.[ch] platform/*.[ch] programs/*.[ch] tests/*/*.[ch] \
           bench/*.[ch] examples/*.[ch] fuzz/*.[ch]))

.PHONY: all programs standins tests bench-programs examples check unit \
        integration demo packages format format-check lint clean bench \
        bench-baselines capacity

all: programs standins tests bench-programs examples

programs: $(PROGRAMS:%=$(BUILD)/%)
standins: $(STANDINS:%=$(BUILD)/%) $(BUILD)/redirect.so
tests: $(UNIT:%=$(BUILD)/unit/%) $(INTEGRATION:%=$(BUILD)/integration/%)
bench-programs: $(BENCH:%=$(BUILD)/%) $(CAPACITY_FLEET:%=$(BUILD)/%) $(BUILD)/bench_fleet
examples: $(EXAMPLES:%=$(BUILD)/examples/%)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo "CC $<"
	@$(CC) $(ALL_CFLAGS) -MMD -MP -c $< -o $@

$(LIB): $(LIB_OBJ)
	@rm -f $@
	@echo "AR $@"
	@ar rcs $@ $^

.SECONDEXPANSION:
$(PROGRAMS:%=$(BUILD)/%): $(BUILD)/%: $(BUILD)/programs/%.o \
    $$(addprefix $(BUILD)/,$$(subst .c,.o,$$(wildcard programs/%_*.c))) $(LIB)
	@echo "LD $@"
	@$(CC) $(LDFLAGS) $^ $(PKG_LIBS) -o $@

$(STANDINS:%=$(BUILD)/%): $(BUILD)/%: $(BUILD)/tests/standins/%.o \
    $$(addprefix $(BUILD)/,$$(subst .c,.o,$$(wildcard tests/standins/common_*.c))) $(LIB)
	@echo "LD $@"
	@$(CC) $(LDFLAGS) $^ $(PKG_LIBS) -o $@

# Loaded into other programs, so it is built without sanitizers.
$(BUILD)/redirect.so: tests/standins/redirect.c
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) $(filter-out $(SANITIZE),$(ALL_CFLAGS)) -fPIC -shared $< -o $@

$(BUILD)/unit/%: $(BUILD)/tests/unit/%.o $(RUNNER_SRC:%.c=$(BUILD)/%.o) $(LIB)
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) $(LDFLAGS) $^ $(CHECK_LIBS) $(PKG_LIBS) -o $@

# These tests run the platform stand-in.
$(addprefix $(BUILD)/unit/,test_platform test_config_store test_config_change): | \
    $(BUILD)/platform_standin

$(BUILD)/integration/%: $(BUILD)/tests/integration/%.o \
    $(HARNESS_SRC:%.c=$(BUILD)/%.o) $(LIB)
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) $(LDFLAGS) $^ $(CHECK_LIBS) $(PKG_LIBS) -o $@

# These tests surround session daemons, or parts of them, with a stand-in of
# their own.
$(addprefix $(BUILD)/integration/,test_sessions test_session_control test_session_memory \
    test_session_soak test_session_store test_session_restore test_session_former \
    test_session_config test_session_quota): \
    $(WORLD_SRC:%.c=$(BUILD)/%.o)

$(BENCH:%=$(BUILD)/%): $(BUILD)/%: $(BUILD)/bench/%.o \
    $$(addprefix $(BUILD)/,$$(subst .c,.o,$$(wildcard bench/common_*.c))) $(LIB)
	@echo "LD $@"
	@$(CC) $(LDFLAGS) $^ $(PKG_LIBS) -o $@

$(BUILD)/bench/%.o: ALL_CFLAGS += -Itests

$(BUILD)/bench_fleet: $(FLEET_SRC:%.c=$(BUILD)/%.o) \
    $(HARNESS_SRC:%.c=$(BUILD)/%.o) $(LIB)
	@echo "LD $@"
	@$(CC) $(LDFLAGS) $^ $(CHECK_LIBS) $(GSL_LIBS) $(PKG_LIBS) -o $@

$(CAPACITY_FLEET:%=$(BUILD)/%): $(BUILD)/%: $(BUILD)/bench/%.o \
    $(BUILD)/bench/common_bench.o $(HARNESS_SRC:%.c=$(BUILD)/%.o) $(LIB)
	@echo "LD $@"
	@$(CC) $(LDFLAGS) $^ $(CHECK_LIBS) $(PKG_LIBS) -o $@

$(BUILD)/examples/%: $(BUILD)/examples/%.o \
    $(patsubst %.c,$(BUILD)/%.o,$(wildcard examples/common_*.c)) $(LIB)
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) $(LDFLAGS) $^ $(PKG_LIBS) -o $@

# Fuzzers with the fuzzing library where clang has it, and programs that
# replay files given as arguments.
FUZZ := $(patsubst fuzz/%.c,%,$(wildcard fuzz/fuzz_*.c))
FUZZ_FLAGS := -fsanitize=fuzzer,address
FUZZ_PROBE = echo 'int LLVMFuzzerTestOneInput(void) { return 0; }' | \
             clang $(FUZZ_FLAGS) -x c - -o /dev/null 2>/dev/null
.PHONY: fuzz
fuzz: $(FUZZ:%=$(BUILD)/fuzz/%_replay)
	@if $(FUZZ_PROBE); then \
	    $(MAKE) $(FUZZ:%=$(BUILD)/fuzz/%); \
	else \
	    echo "clang's fuzzing library is missing: built the replay programs only"; \
	fi

$(FUZZ:%=$(BUILD)/fuzz/%_replay): $(BUILD)/fuzz/%_replay: $(BUILD)/fuzz/%.o \
    $(BUILD)/fuzz/replay.o $(LIB)
	@echo "LD $@"
	@$(CC) $(LDFLAGS) $^ $(PKG_LIBS) -o $@

$(FUZZ:%=$(BUILD)/fuzz/%): $(BUILD)/fuzz/%: fuzz/%.c \
    $(wildcard lib/common/*.c) $(wildcard lib/wire/msg*.c) \
    lib/session/catalog.c platform/line.c platform/catalog_json.c platform/registration.c
	@mkdir -p $(@D)
	@echo "CC $@"
	@clang $(ALL_CFLAGS) -Wno-unknown-warning-option $(FUZZ_FLAGS) $^ $(PKG_LIBS) -o $@

packages:
	@./tools/install-packages

check: packages
	$(MAKE) all
	./tools/run-tests $(BUILD)

unit: tests standins
	./tools/run-tests $(BUILD) unit

integration: all
	./tools/run-tests $(BUILD) integration

demo: packages
	$(MAKE) programs standins $(BUILD)/integration/demo
	MASTICRELAY_BUILD=$(BUILD) $(BUILD)/integration/demo

bench: packages
	@$(MAKE) programs standins $(BUILD)/bench_fleet
	MASTICRELAY_BUILD=$(BUILD) $(BUILD)/bench_fleet

# Compares decisions of the design with baselines, see bench/baselines/run.
bench-baselines: packages
	@$(MAKE) programs standins $(BUILD)/bench_fleet $(BUILD)/integration/test_acknowledged
	MASTICRELAY_BUILD=$(BUILD) bench/baselines/run

# Measures the costs that docs/CAPACITY.md computes with.
capacity: packages
	$(MAKE) programs standins $(CAPACITY:%=$(BUILD)/%)
	MASTICRELAY_BUILD=$(BUILD) bench/capacity.sh

format:
	@clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run --Werror $(SOURCES)

# Two files a process, so that all cores work.
lint:
	@printf '%s\n' $(filter %.c,$(SOURCES)) | xargs -P 10 -n 2 \
	    sh -c 'clang-tidy --quiet --header-filter="$(CURDIR)/.*" "$$@" -- -std=c11 -D_GNU_SOURCE -Ilib -Itests $(PKG_CFLAGS) 2>/dev/null' tidy

clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
