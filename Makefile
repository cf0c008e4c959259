.PHONY: build test lint run demo

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps --workspace

# PROXY_CONFIG names the configuration; UWSGI and EDGE, if set, the operators' files.
run: build
	target/release/holdlift $(if $(UWSGI),--uwsgi $(UWSGI)) $(if $(EDGE),--edge $(EDGE))

# A small fleet with its keepers, a service below and load; something is killed and cut. Ends by itself within a minute.
demo:
	cargo build --release --locked --workspace
	target/release/holdlift-lab demo
