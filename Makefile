# Short commands for developers; the steps are in scripts/.
BUILD ?= build
.PHONY: all deps build test demo demo-stop bench format lint generate clean

all: build

deps:
	bash scripts/install-dependencies.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja > /dev/null
	cmake --build $(BUILD)

test: build
	cd $(BUILD) && ctest --output-on-failure -j 2

demo: build
	python3 scripts/demo.py start $(if $(KEEP),--keep)

demo-stop:
	python3 scripts/demo.py stop

bench:
	bash scripts/bench.sh

format:
	bash scripts/format.sh

lint:
	bash scripts/lint.sh

generate:
	bash scripts/generate.sh

clean:
	rm -rf build build-*
