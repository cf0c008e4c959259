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

/// Whatever the order in which two processes accept and receive orders, both end with the same one, the last where one followed
/// the other.
#[test]
fn orders_of_two_processes_agree_in_any_order_of_messages() {
    use ServiceOrder::{InService, OutOfService};
    for (first, second) in
        [(OutOfService, InService), (InService, OutOfService), (OutOfService, OutOfService)]
    {
        let accept = |service: &mut Service, order| {
            service.apply_order(order).expect("a process that is not leaving accepts the order");
            service.order()
        };
        // One after the other, at either process.
        for is_second_at_successor in [false, true] {
            let (mut incumbent, mut successor) = (Service::default(), Service::default());
            let order = accept(&mut incumbent, first);
            successor.receive_order(order, false);
            if is_second_at_successor {
                let order = accept(&mut successor, second);
                incumbent.receive_order(order, true);
            } else {
                let order = accept(&mut incumbent, second);
                successor.receive_order(order, false);
            }
            assert_eq!(incumbent.order(), successor.order());
            assert_eq!(incumbent.order().is_out_of_service, second == OutOfService);
        }
        // Both at once: the messages cross on the link.
        let (mut incumbent, mut successor) = (Service::default(), Service::default());
        let (of_incumbent, of_successor) = (accept(&mut incumbent, first), accept(&mut successor, second));
        incumbent.receive_order(of_successor, true);
        assert!(!successor.receive_order(of_incumbent, false));
        assert_eq!((incumbent.order(), successor.order()), (of_successor, of_successor));
        // A repeated message changes nothing.
        assert!(!incumbent.receive_order(of_successor, true));
    }
}

#[test]
fn an_order_of_the_other_process_holds_in_a_replaced_process() {
    let mut incumbent = serving_after(|service| service.start_departure(true));
    assert!(incumbent.is_healthy());
    assert!(incumbent.receive_order(NodeOrder { is_out_of_service: true, revision: 1 }, true));
    assert!(!incumbent.is_healthy(), "its last connections must see that the node is out of service");
}
