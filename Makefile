# Targets: all (default: the programs), platform (the gateway program only),
# standins, tests and bench-progs (build only), setup, check, demo, bench, fmt,
# fmt-check, lint, rpcgen, clean.
# SAN=address or SAN=thread builds with that sanitizer, in a separate folder.
CC ?= gcc
PKGS := liburcu-bp liburcu-cds libmicrohttpd neon libtirpc glib-2.0 json-c libxxhash zlib
ifeq ($(SAN),)
B := build/plain
else
B := build/$(SAN)
SANFLAGS := -fsanitize=$(SAN) -fno-omit-frame-pointer
endif
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wno-unused-parameter
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
CFLAGS += -std=gnu11 -O2 -g -pthread -D_GNU_SOURCE -DURCU_INLINE_SMALL_FUNCTIONS $(WARN) $(SANFLAGS) \
	-Iinclude -Isrc/rpc/gen -Itests $(PKG_CFLAGS)
LDLIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lm -pthread
CMOCKA := $(shell pkg-config --libs cmocka 2>/dev/null)
CURL := $(shell pkg-config --libs libcurl 2>/dev/null)

LIB_SRC := $(sort $(wildcard src/base/*.c src/config/*.c src/rpc/*.c src/control/*.c src/request/*.c src/node/*.c))
GATEWAY_SRC := $(sort $(wildcard src/gateway/*.c))
PLATFORM_SRC := $(sort $(wildcard platform/*.c))
GEN_SRC := $(sort $(wildcard src/rpc/gen/*.c))
CTL_SRC := $(sort $(wildcard src/ctl/*.c))
TEST_SRC := $(sort $(wildcard tests/test_*.c))
TEST_LIB_SRC := $(sort $(wildcard tests/support/*.c))
STANDIN_SRC := $(sort $(wildcard standins/*.c))
STANDIN_LIB_SRC := $(sort $(wildcard standins/support/*.c))
BENCH_SRC := $(sort $(wildcard bench/*.c))
BENCH_LIB_SRC := $(sort $(wildcard bench/support/*.c))
REPLAY_SRC := $(sort $(wildcard replay/*.c))
FLEET_SRC := $(sort $(wildcard bench/fleet/*.c))
OWN_SRC := $(LIB_SRC) $(GATEWAY_SRC) $(PLATFORM_SRC) src/celerygladed.c $(CTL_SRC) $(TEST_SRC) $(TEST_LIB_SRC) $(STANDIN_SRC) $(STANDIN_LIB_SRC) $(BENCH_SRC) $(BENCH_LIB_SRC) $(REPLAY_SRC) $(FLEET_SRC)
OWN_HDR := $(sort $(wildcard include/*/*.h src/*/*.h platform/*.h tests/*.h tests/support/*.h standins/support/*.h bench/support/*.h bench/fleet/*.h replay/*.h))

LIB_OBJ := $(LIB_SRC:%.c=$(B)/%.o) $(GEN_SRC:%.c=$(B)/%.o)
SUPPORT_LIBS := $(B)/libtestsupport.a $(B)/libreplay.a $(B)/libfleet.a $(B)/libstandin.a
PROGS := $(B)/celerygladed $(B)/celerygladectl $(B)/celeryglade-gateway
STANDINS := $(STANDIN_SRC:standins/%.c=$(B)/standins/%)
TESTS := $(TEST_SRC:tests/%.c=$(B)/tests/%)
BENCHES := $(BENCH_SRC:bench/%.c=$(B)/bench/%)

# The files outside src/gateway that the gateway needs. Linking no others keeps
# unused libraries out of the gateway, which runs on each machine: its memory
# matters.
GATEWAY_BASE := src/base/address.c src/base/buffer.c src/base/clock.c src/base/counters.c src/base/http_text.c src/base/jsonc.c src/base/logging.c src/base/memory_budget.c src/base/outcome.c \
	src/control/rate_bucket.c src/base/names.c src/rpc/gen/fleet_wire_xdr.c
GATEWAY_LIBS := $(shell pkg-config --libs libmicrohttpd libtirpc glib-2.0 json-c libxxhash zlib 2>/dev/null) -lhttp_parser -lm

.PHONY: all tests platform bench-progs check demo bench fmt fmt-check lint rpcgen setup clean unit
.SECONDARY:
all: $(PROGS)
tests: $(TESTS)
standins: $(STANDINS)
bench-progs: $(BENCHES)

$(B)/libceleryglade.a: $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^
# An archive, so that each program links only the support files that it uses and
# a test can define fakes in place of library functions.
$(B)/libtestsupport.a: $(TEST_LIB_SRC:%.c=$(B)/%.o)
	@rm -f $@
	ar rcs $@ $^
$(B)/libreplay.a: $(REPLAY_SRC:%.c=$(B)/%.o)
	@rm -f $@
	ar rcs $@ $^
$(B)/libfleet.a: $(FLEET_SRC:%.c=$(B)/%.o)
	@rm -f $@
	ar rcs $@ $^
$(B)/libstandin.a: $(STANDIN_LIB_SRC:%.c=$(B)/%.o)
	@rm -f $@
	ar rcs $@ $^
$(B)/celerygladed: $(B)/src/celerygladed.o $(B)/libceleryglade.a
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)
$(B)/celerygladectl: $(CTL_SRC:%.c=$(B)/%.o) $(B)/libceleryglade.a
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)
$(B)/standins/%: $(B)/standins/%.o $(STANDIN_LIB_SRC:%.c=$(B)/%.o) $(B)/libceleryglade.a
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)
$(B)/tests/test_%: $(B)/tests/test_%.o $(SUPPORT_LIBS) $(B)/libplatform.a $(B)/libgateway.a $(B)/libceleryglade.a
	$(CC) $(SANFLAGS) -o $@ $^ $(CMOCKA) $(CURL) $(LDLIBS) -lhttp_parser
$(B)/bench/%: $(B)/bench/%.o $(BENCH_LIB_SRC:%.c=$(B)/%.o) $(SUPPORT_LIBS) $(B)/libgateway.a $(B)/libceleryglade.a
	$(CC) $(SANFLAGS) -o $@ $^ $(CMOCKA) $(CURL) $(LDLIBS) -lhttp_parser

platform: $(B)/celeryglade-gateway
$(B)/libgateway.a: $(GATEWAY_SRC:%.c=$(B)/%.o) $(GATEWAY_BASE:%.c=$(B)/%.o)
	@rm -f $@
	ar rcs $@ $^
# The gateway program without main(), for tests.
$(B)/libplatform.a: $(filter-out $(B)/platform/main.o,$(PLATFORM_SRC:%.c=$(B)/%.o))
	@rm -f $@
	ar rcs $@ $^
$(B)/celeryglade-gateway: $(B)/platform/main.o $(B)/libplatform.a $(B)/libgateway.a
	$(CC) $(SANFLAGS) -o $@ $^ $(GATEWAY_LIBS)

# The code that rpcgen generates causes these warnings.
$(B)/src/rpc/gen/%.o: src/rpc/gen/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -Wno-unused-variable -Wno-missing-prototypes -Wno-shadow -MMD -MP -c -o $@ $<
$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

setup:
	sh scripts/setup.sh
check:
	sh scripts/check.sh
demo:
	sh scripts/demo.sh
bench:
	sh scripts/bench.sh
fmt:
	clang-format -i $(OWN_SRC) $(OWN_HDR)
fmt-check:
	clang-format --dry-run -Werror $(OWN_SRC) $(OWN_HDR)
lint:
	printf '%s\n' $(OWN_SRC) | xargs -P 8 -n 2 sh -c 'clang-tidy --quiet "$$@" -- $(CFLAGS) 2>/dev/null' sh
rpcgen:
	for x in src/rpc/*.x; do b=$$(basename $$x .x); \
	rpcgen -h $$x > src/rpc/gen/$$b.h; (cd src/rpc/gen && rpcgen -c ../$$b.x | sed 's|"\.\./|"|' > $${b}_xdr.c); done
clean:
	rm -rf build target
-include $(shell find build target -name '*.d' 2>/dev/null)
