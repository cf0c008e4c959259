.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings

# PROXY_CONFIG names the configuration; UWSGI, if set, the operator's file of the uwsgi front.
run: build
	target/release/holdlift $(if $(UWSGI),--uwsgi $(UWSGI))
