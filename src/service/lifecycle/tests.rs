use super::*;

fn serving_after(change: impl Fn(&mut Service)) -> Service {
    let mut service = Service::default();
    service.start_serving();
    change(&mut service);
    service
}

fn take_out(service: &mut Service) {
    service.apply_order(ServiceOrder::OutOfService).expect("a process in service accepts the order");
}

/// A service with the state, readiness, health, directory report and answer to an order that it must have.
struct Case {
    service: Service,
    state: ServiceState,
    is_ready: bool,
    is_healthy: bool,
    report: DirectoryReport,
    order: Result<(), ServiceOrderError>,
}

fn replaced_case(service: Service, is_healthy: bool) -> Case {
    Case {
        service,
        state: ServiceState::Replaced,
        is_ready: false,
        is_healthy,
        report: DirectoryReport::Silent,
        order: Err(ServiceOrderError::Replaced),
    }
}

fn out_of_service_case(service: Service) -> Case {
    Case {
        service,
        state: ServiceState::OutOfService,
        is_ready: true,
        is_healthy: false,
        report: DirectoryReport::Closed,
        order: Ok(()),
    }
}

#[test]
fn each_state_determines_checks_report_and_accepted_orders() {
    let cases = [
        Case {
            service: Service::default(),
            state: ServiceState::Starting,
            is_ready: false,
            is_healthy: false,
            report: DirectoryReport::Silent,
            order: Ok(()),
        },
        Case {
            service: serving_after(|_| {}),
            state: ServiceState::InService,
            is_ready: true,
            is_healthy: true,
            report: DirectoryReport::Open,
            order: Ok(()),
        },
        out_of_service_case(serving_after(take_out)),
        out_of_service_case(serving_after(|service| _ = service.set_zone_out(true))),
        out_of_service_case(serving_after(|service| {
            take_out(service);
            service.set_zone_out(true);
            service.set_zone_out(false);
        })),
        Case {
            service: serving_after(|service| service.start_departure(false)),
            state: ServiceState::Leaving,
            is_ready: false,
            is_healthy: false,
            report: DirectoryReport::Closed,
            order: Err(ServiceOrderError::Leaving),
        },
        replaced_case(serving_after(|service| service.start_departure(true)), true),
        // A process that was out of service when it was replaced: the node stays out of service.
        replaced_case(
            serving_after(|service| {
                take_out(service);
                service.start_departure(true);
            }),
            false,
        ),
        // Only the first notice counts: a second one does not turn a replacement into a plain departure.
        replaced_case(
            serving_after(|service| {
                service.start_departure(true);
                service.start_departure(false);
            }),
            true,
        ),
    ];
    for Case { mut service, state, is_ready, is_healthy, report, order } in cases {
        assert_eq!(
            (service.state(), service.is_ready(), service.is_healthy(), service.directory_report(true)),
            (state, is_ready, is_healthy, report),
            "{state:?}"
        );
        assert_eq!(service.apply_order(ServiceOrder::InService), order, "{state:?}");
    }
    assert_eq!(
        serving_after(|_| {}).directory_report(false),
        DirectoryReport::Closed,
        "the decision module's view of health counts in service"
    );
}

#[test]
fn repeated_orders_succeed_and_an_order_before_the_start_holds_after_it() {
    let mut service = Service::default();
    for _ in 0..2 {
        assert_eq!(service.apply_order(ServiceOrder::OutOfService), Ok(()));
    }
    service.start_serving();
    assert_eq!(service.state(), ServiceState::OutOfService);
    for _ in 0..2 {
        assert_eq!(service.apply_order(ServiceOrder::InService), Ok(()));
        assert_eq!(service.state(), ServiceState::InService);
    }
}
